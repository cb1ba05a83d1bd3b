package version

import (
	"net"
	"slices"
	"strconv"
	"strings"
)

// modelAPIPrefix is the path prefix of the model interface for callers. Service
// pools must not overlap it.
const modelAPIPrefix = "/v1/"

// maxModelNameBytes is the maximum length of a model name.
const maxModelNameBytes = 128

// knownMethods are the HTTP methods that a pool may list as non-repeatable.
var knownMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func (v *validator) checkPools() {
	const section = "pool"
	v.checkCount(section, len(v.document.Pools), MaxPools)
	names := newNameSet(v, section, NewPoolID)
	poolByModel := make(map[string]string)
	for i, spec := range v.document.Pools {
		names.add(i, spec.Name)
		v.checkRange(elementPath(section, i, "expected_first_token_ms"), spec.ExpectedFirstTokenMS, maxFirstTokenMS)
		switch spec.Kind {
		case PoolModel:
			v.checkModelPool(i, spec, poolByModel)
		case PoolService:
			v.checkServicePool(i, spec)
		default:
			v.addProblem(elementPath(section, i, "kind"), "kind %q is neither %q nor %q", spec.Kind, PoolModel, PoolService)
		}
	}
	v.checkPathPrefixes()
}

// checkModelPool checks a model pool. poolByModel holds the pools of the models
// checked so far; checkModelPool adds the models of this pool to it.
func (v *validator) checkModelPool(i int, spec PoolSpec, poolByModel map[string]string) {
	path := elementPath("pool", i, "models")
	if len(spec.Models) == 0 {
		v.addProblem(path, "the model pool %q lists no models", spec.Name)
	}
	for _, model := range spec.Models {
		if !isModelName(model) {
			v.addProblem(path, "the model name %q is empty, too long or holds blanks", model)
		}
		if other, exists := poolByModel[model]; exists {
			v.addProblem(path, "the model %q stands twice, first in pool %q", model, other)
		}
		poolByModel[model] = spec.Name
	}
	if spec.PathPrefix != "" {
		v.addProblem(elementPath("pool", i, "path_prefix"), "a model pool has no path_prefix")
	}
	if len(spec.NonRepeatable) > 0 {
		v.addProblem(elementPath("pool", i, "non_repeatable"), "a model pool has no non_repeatable calls")
	}
}

// isModelName reports whether name has 1 to maxModelNameBytes bytes, all of them
// printable ASCII other than space and double quote.
func isModelName(name string) bool {
	if name == "" || len(name) > maxModelNameBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '"' })
}

func (v *validator) checkServicePool(i int, spec PoolSpec) {
	if len(spec.Models) > 0 {
		v.addProblem(elementPath("pool", i, "models"), "a service pool has no models")
	}
	path := elementPath("pool", i, "path_prefix")
	if !isPathPrefix(spec.PathPrefix) {
		v.addProblem(path, "path_prefix %q must look like \"/name/\"", spec.PathPrefix)
	} else if overlaps(spec.PathPrefix, modelAPIPrefix) {
		v.addProblem(path, "path_prefix %q overlaps the models' interface under %s", spec.PathPrefix, modelAPIPrefix)
	}
	seen := make(map[string]bool)
	for _, method := range spec.NonRepeatable {
		if !slices.Contains(knownMethods, method) {
			v.addProblem(elementPath("pool", i, "non_repeatable"), "%q is none of the methods %s", method, strings.Join(knownMethods, ", "))
		}
		if seen[method] {
			v.addProblem(elementPath("pool", i, "non_repeatable"), "the method %q stands twice", method)
		}
		seen[method] = true
	}
}

// checkPathPrefixes checks that no path prefix of a service pool is a prefix of
// another pool's, so that no service hides another. It leaves out invalid
// prefixes, which checkServicePool reports.
func (v *validator) checkPathPrefixes() {
	var earlier []PoolSpec
	for i, spec := range v.document.Pools {
		if spec.Kind != PoolService || !isPathPrefix(spec.PathPrefix) {
			continue
		}
		for _, other := range earlier {
			if overlaps(spec.PathPrefix, other.PathPrefix) {
				v.addProblem(elementPath("pool", i, "path_prefix"), "path_prefix %q overlaps %q of pool %q", spec.PathPrefix, other.PathPrefix, other.Name)
			}
		}
		earlier = append(earlier, spec)
	}
}

// overlaps reports whether one of two path prefixes is a prefix of the other.
func overlaps(a, b string) bool { return strings.HasPrefix(a, b) || strings.HasPrefix(b, a) }

// isPathPrefix reports whether prefix has the form "/a/b/" and each segment is a
// valid name other than "." and "..".
func isPathPrefix(prefix string) bool {
	if len(prefix) < 3 || prefix[0] != '/' || prefix[len(prefix)-1] != '/' {
		return false
	}
	for segment := range strings.SplitSeq(prefix[1:len(prefix)-1], "/") {
		if nameProblem(segment) != "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// poolAddress is the address of an upstream in a pool, at which no other upstream
// of the pool may be.
type poolAddress struct{ pool, address string }

func (v *validator) checkUpstreams() {
	const section = "upstream"
	v.checkCount(section, len(v.document.Upstreams), MaxUpstreams)
	names := newNameSet(v, section, NewUpstreamID)
	byAddress := make(map[poolAddress]string)
	for i, spec := range v.document.Upstreams {
		names.add(i, spec.Name)
		if !v.poolNames[spec.Pool] {
			v.addProblem(elementPath(section, i, "pool"), "the pool %q is not described", spec.Pool)
		}
		if !v.dataCentreNames[spec.DataCentre] {
			v.addProblem(elementPath(section, i, "datacentre"), "the data centre %q is not described", spec.DataCentre)
		}
		if spec.Team != "" {
			v.checkName(elementPath(section, i, "team"), spec.Team)
		}
		v.checkAddress(elementPath(section, i, "address"), spec, byAddress)
		v.checkLimits(i, spec)
	}
}

// checkAddress checks the address of an upstream. byAddress holds the names of the
// upstreams checked so far; checkAddress adds this upstream to it.
func (v *validator) checkAddress(path []string, spec UpstreamSpec, byAddress map[poolAddress]string) {
	if !IsHostPort(spec.Address) {
		v.addProblem(path, "address %q is not host:port", spec.Address)
		return
	}
	key := poolAddress{pool: spec.Pool, address: spec.Address}
	if other, exists := byAddress[key]; exists {
		v.addProblem(path, "address %q stands twice in pool %q, first for upstream %q", spec.Address, spec.Pool, other)
	}
	byAddress[key] = spec.Name
}

// checkLimits checks the lent share and the slot limits of an upstream.
func (v *validator) checkLimits(i int, spec UpstreamSpec) {
	if spec.LentShare != nil {
		v.checkFraction(elementPath("upstream", i, "lent_share"), *spec.LentShare)
	}
	v.checkRange(elementPath("upstream", i, "cold_limit"), spec.ColdLimit, MaxLimit)
	v.checkRange(elementPath("upstream", i, "warm_limit"), spec.WarmLimit, MaxLimit)
	cold, warm := orDefault(spec.ColdLimit, defaultColdLimit), orDefault(spec.WarmLimit, defaultWarmLimit)
	if cold > warm {
		v.addProblem(elementPath("upstream", i, "cold_limit"), "cold_limit %d is above warm_limit %d", cold, warm)
	}
}

// IsHostPort reports whether text has the form host:port, with a port from 1 to
// 65535.
func IsHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, "/ \t\r\n@?#") {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
