package version

import "strings"

// PoolByPath returns the service pool that serves a path: the pool with the
// longest path prefix that matches.
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

// Repeatable reports whether a request with the HTTP method may be executed more
// than once.
func (p *Pool) Repeatable(method string) bool {
	for _, name := range p.NonRepeatable {
		if strings.EqualFold(name, method) {
			return false
		}
	}
	return true
}
