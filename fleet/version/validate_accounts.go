package version

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"
)

// digestHexBytes is the length of a SHA-256 digest in hex.
const digestHexBytes = 64

func (v *validator) checkAccounts() {
	const section = "account"
	v.checkCount(section, len(v.document.Accounts), MaxAccounts)
	names := newNameSet(v, section, NewAccountID)
	accountByDigest := make(map[string]string)
	for i, spec := range v.document.Accounts {
		names.add(i, spec.Name)
		if spec.Team != "" && !v.owningTeams[spec.Team] {
			v.addProblem(elementPath(section, i, "team"), "the team %q owns no upstream", spec.Team)
		}
		v.checkPositive(elementPath(section, i, "weight"), spec.Weight, maxWeight)
		v.checkRange(elementPath(section, i, "max_waiting"), spec.MaxWaiting, MaxWaitingLimit)
		v.checkKeyDigests(elementPath(section, i, "key_digests"), spec, accountByDigest)
	}
}

// checkKeyDigests checks the API keys of an account. accountByDigest holds the
// accounts of the digests checked so far; checkKeyDigests adds the digests of this
// account to it.
func (v *validator) checkKeyDigests(path []string, spec AccountSpec, accountByDigest map[string]string) {
	if len(spec.KeyDigests) > MaxKeysPerAccount {
		v.addProblem(path, "%d key digests are too many, the limit is %d", len(spec.KeyDigests), MaxKeysPerAccount)
	}
	for _, digest := range spec.KeyDigests {
		if !isDigest(digest) {
			v.addProblem(path, "the key digest %q is not 64 lower-case hex digits", digest)
			continue
		}
		if account, exists := accountByDigest[digest]; exists {
			v.addProblem(path, "the key digest %s stands twice, first for account %q", digest, account)
		}
		accountByDigest[digest] = spec.Name
	}
}

// isDigest reports whether text is a SHA-256 digest in lower-case hex.
func isDigest(text string) bool {
	if len(text) != digestHexBytes || strings.ToLower(text) != text {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}

func (v *validator) checkPresets() {
	const section = "preset"
	if len(v.document.Presets) == 0 {
		v.addProblem([]string{section}, "there is no [[preset]], at least one is needed")
	}
	v.checkCount(section, len(v.document.Presets), MaxPresets)
	names := newNameSet[uint32](v, section, nil)
	for i, spec := range v.document.Presets {
		names.add(i, spec.Name)
		v.checkPositive(elementPath(section, i, "limit_scale"), spec.LimitScale, MaxLimitScale)
		for _, account := range slices.Sorted(maps.Keys(spec.Weights)) {
			path := elementPath(section, i, "weights", account)
			if !v.accountNames[account] {
				v.addProblem(path, "the account %q is not described", account)
			}
			if spec.Weights[account] == 0 {
				v.addProblem(path, "the weight of %q is 0, it must be above 0", account)
			}
			v.checkPositive(path, spec.Weights[account], maxWeight)
		}
		for _, team := range slices.Sorted(maps.Keys(spec.LentShares)) {
			path := elementPath(section, i, "lent_shares", team)
			if !v.owningTeams[team] {
				v.addProblem(path, "the team %q owns no upstream", team)
			}
			v.checkFraction(path, spec.LentShares[team])
		}
	}
}
