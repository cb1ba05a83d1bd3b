package version

import "strings"

// PoolByPath returns the pool of plain services that serves a path: the one
// with the longest prefix.
func (c *Config) PoolByPath(path string) (*Pool, bool) {
	var best *Pool
	for _, pool := range c.Pools {
		if pool.Kind != PoolService || pool.PathPrefix == "" || !strings.HasPrefix(path, pool.PathPrefix) {
			continue
		}
		if best == nil || len(pool.PathPrefix) > len(best.PathPrefix) {
			best = pool
		}
	}
	return best, best != nil
}

// Repeatable reports whether a call of the method may run more than once.
func (p *Pool) Repeatable(method string) bool {
	for _, name := range p.NonRepeatable {
		if strings.EqualFold(name, method) {
			return false
		}
	}
	return true
}
