package request

import (
	"slices"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// SoftwareRule says which software versions may run an attempt while versions are rolled out. The
// zero value allows all.
type SoftwareRule struct {
	// Only is the only version that may run the attempt; "" allows all but Except.
	Only string
	// Except are the versions that must not run the attempt.
	Except []string
	// Among are the upstreams of Only that may run the attempt; nil allows all. If none of them
	// takes the attempt, Fallback says which others may.
	Among []version.UpstreamID
}

// IsZero reports whether the rule allows all.
func (r SoftwareRule) IsZero() bool { return r.Only == "" && len(r.Except) == 0 && r.Among == nil }

// Permits reports whether an upstream with the given software version may run the attempt.
func (r SoftwareRule) Permits(software string, id version.UpstreamID) bool {
	switch {
	case r.Only != "" && software != r.Only, slices.Contains(r.Except, software):
		return false
	}
	return r.Among == nil || slices.Contains(r.Among, id)
}

// Fallback returns the rule for an attempt that none of the upstreams in Among takes: the versions
// other than Only run it. It reports false if there is no such rule.
func (r SoftwareRule) Fallback() (SoftwareRule, bool) {
	if r.Among == nil {
		return SoftwareRule{}, false
	}
	return SoftwareRule{Except: append(slices.Clip(r.Except), r.Only)}, true
}
