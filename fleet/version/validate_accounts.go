package version

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"
)

// digestHexBytes is the length of a hex SHA-256.
const digestHexBytes = 64

func (v *validator) accounts() {
	const section = "account"
	v.count(section, len(v.document.Accounts), MaxAccounts)
	names := newNameSet(v, section, NewAccountID)
	owners := make(map[string]string)
	for i, spec := range v.document.Accounts {
		names.add(i, spec.Name)
		if spec.Team != "" && !v.owningTeams[spec.Team] {
			v.problem(element(section, i, "team"), "the team %q owns no upstream", spec.Team)
		}
		v.positive(element(section, i, "weight"), spec.Weight, maxWeight)
		v.between(element(section, i, "max_waiting"), spec.MaxWaiting, MaxWaitingLimit)
		v.keyDigests(element(section, i, "key_digests"), spec, owners)
	}
}

func (v *validator) keyDigests(path []string, spec AccountSpec, owners map[string]string) {
	if len(spec.KeyDigests) > MaxKeysPerAccount {
		v.problem(path, "%d key digests are too many, the limit is %d", len(spec.KeyDigests), MaxKeysPerAccount)
	}
	for _, digest := range spec.KeyDigests {
		if !isDigest(digest) {
			v.problem(path, "the key digest %q is not 64 lower-case hex digits", digest)
			continue
		}
		if owner, taken := owners[digest]; taken {
			v.problem(path, "the key digest %s stands twice, first for account %q", digest, owner)
		}
		owners[digest] = spec.Name
	}
}

func isDigest(text string) bool {
	if len(text) != digestHexBytes || strings.ToLower(text) != text {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}

func (v *validator) presets() {
	const section = "preset"
	if len(v.document.Presets) == 0 {
		v.problem([]string{section}, "there is no [[preset]], at least one is needed")
	}
	v.count(section, len(v.document.Presets), MaxPresets)
	names := newNameSet[uint32](v, section, nil)
	for i, spec := range v.document.Presets {
		names.add(i, spec.Name)
		v.positive(element(section, i, "limit_scale"), spec.LimitScale, MaxLimitScale)
		for _, account := range slices.Sorted(maps.Keys(spec.Weights)) {
			path := element(section, i, "weights", account)
			if !v.accountNames[account] {
				v.problem(path, "the account %q is not described", account)
			}
			if spec.Weights[account] == 0 {
				v.problem(path, "the weight of %q is 0, it must be above 0", account)
			}
			v.positive(path, spec.Weights[account], maxWeight)
		}
		for _, team := range slices.Sorted(maps.Keys(spec.LentShares)) {
			path := element(section, i, "lent_shares", team)
			if !v.owningTeams[team] {
				v.problem(path, "the team %q owns no upstream", team)
			}
			v.share(path, spec.LentShares[team])
		}
	}
}
