package version

import (
	"net"
	"slices"
	"strconv"
	"strings"
)

// apiPrefix is the path of the callers' model interface.
const apiPrefix = "/v1/"

// maxModelBytes bounds a model's name.
const maxModelBytes = 128

// methods are the HTTP methods that a pool may list as non-repeatable.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func (v *validator) pools() {
	const section = "pool"
	v.count(section, len(v.document.Pools), MaxPools)
	names := newNameSet(v, section, NewPoolID)
	models := make(map[string]string)
	for i, spec := range v.document.Pools {
		names.add(i, spec.Name)
		v.between(element(section, i, "expected_first_token_ms"), spec.ExpectedFirstTokenMS, maxFirstTokenMS)
		switch spec.Kind {
		case PoolModel:
			v.modelPool(i, spec, models)
		case PoolService:
			v.servicePool(i, spec)
		default:
			v.problem(element(section, i, "kind"), "kind %q is neither %q nor %q", spec.Kind, PoolModel, PoolService)
		}
	}
	v.pathPrefixes()
}

func (v *validator) modelPool(i int, spec PoolSpec, models map[string]string) {
	path := element("pool", i, "models")
	if len(spec.Models) == 0 {
		v.problem(path, "the model pool %q lists no models", spec.Name)
	}
	for _, model := range spec.Models {
		if !isModel(model) {
			v.problem(path, "the model name %q is empty, too long or holds blanks", model)
		}
		if other, taken := models[model]; taken {
			v.problem(path, "the model %q stands twice, first in pool %q", model, other)
		}
		models[model] = spec.Name
	}
	if spec.PathPrefix != "" {
		v.problem(element("pool", i, "path_prefix"), "a model pool has no path_prefix")
	}
	if len(spec.NonRepeatable) > 0 {
		v.problem(element("pool", i, "non_repeatable"), "a model pool has no non_repeatable calls")
	}
}

func isModel(name string) bool {
	if name == "" || len(name) > maxModelBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '"' })
}

func (v *validator) servicePool(i int, spec PoolSpec) {
	if len(spec.Models) > 0 {
		v.problem(element("pool", i, "models"), "a service pool has no models")
	}
	path := element("pool", i, "path_prefix")
	if !isPathPrefix(spec.PathPrefix) {
		v.problem(path, "path_prefix %q must look like \"/name/\"", spec.PathPrefix)
	} else if overlaps(spec.PathPrefix, apiPrefix) {
		v.problem(path, "path_prefix %q overlaps the models' interface under %s", spec.PathPrefix, apiPrefix)
	}
	seen := make(map[string]bool)
	for _, method := range spec.NonRepeatable {
		if !slices.Contains(methods, method) {
			v.problem(element("pool", i, "non_repeatable"), "%q is none of the methods %s", method, strings.Join(methods, ", "))
		}
		if seen[method] {
			v.problem(element("pool", i, "non_repeatable"), "the method %q stands twice", method)
		}
		seen[method] = true
	}
}

// pathPrefixes checks that no service's path hides another's.
func (v *validator) pathPrefixes() {
	var earlier []PoolSpec
	for i, spec := range v.document.Pools {
		if spec.Kind != PoolService || !isPathPrefix(spec.PathPrefix) {
			continue
		}
		for _, other := range earlier {
			if overlaps(spec.PathPrefix, other.PathPrefix) {
				v.problem(element("pool", i, "path_prefix"), "path_prefix %q overlaps %q of pool %q", spec.PathPrefix, other.PathPrefix, other.Name)
			}
		}
		earlier = append(earlier, spec)
	}
}

func overlaps(a, b string) bool { return strings.HasPrefix(a, b) || strings.HasPrefix(b, a) }

// isPathPrefix reports whether each segment of "/a/b/" is a name.
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

// place is an upstream's address within a pool.
type place struct{ pool, address string }

func (v *validator) upstreams() {
	const section = "upstream"
	v.count(section, len(v.document.Upstreams), MaxUpstreams)
	names := newNameSet(v, section, NewUpstreamID)
	places := make(map[place]string)
	for i, spec := range v.document.Upstreams {
		names.add(i, spec.Name)
		if !v.poolNames[spec.Pool] {
			v.problem(element(section, i, "pool"), "the pool %q is not described", spec.Pool)
		}
		if !v.dataCentreNames[spec.DataCentre] {
			v.problem(element(section, i, "datacentre"), "the data centre %q is not described", spec.DataCentre)
		}
		if spec.Team != "" {
			v.name(element(section, i, "team"), spec.Team)
		}
		v.address(element(section, i, "address"), spec, places)
		v.limits(i, spec)
	}
}

func (v *validator) address(path []string, spec UpstreamSpec, places map[place]string) {
	if !IsHostPort(spec.Address) {
		v.problem(path, "address %q is not host:port", spec.Address)
		return
	}
	at := place{pool: spec.Pool, address: spec.Address}
	if other, taken := places[at]; taken {
		v.problem(path, "address %q stands twice in pool %q, first for upstream %q", spec.Address, spec.Pool, other)
	}
	places[at] = spec.Name
}

func (v *validator) limits(i int, spec UpstreamSpec) {
	if spec.LentShare != nil {
		v.share(element("upstream", i, "lent_share"), *spec.LentShare)
	}
	v.between(element("upstream", i, "cold_limit"), spec.ColdLimit, MaxLimit)
	v.between(element("upstream", i, "warm_limit"), spec.WarmLimit, MaxLimit)
	cold, warm := orDefault(spec.ColdLimit, defaultColdLimit), orDefault(spec.WarmLimit, defaultWarmLimit)
	if cold > warm {
		v.problem(element("upstream", i, "cold_limit"), "cold_limit %d is above warm_limit %d", cold, warm)
	}
}

// IsHostPort reports whether text is a host and a port from 1 to 65535.
func IsHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, "/ \t\r\n@?#") {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
