package request

import "github.com/cespare/xxhash/v2"

// prefixBytes is the part of a prompt's head that Prefix looks at.
const prefixBytes = 1024

// Prefix returns the hash of a prompt's head for Ticket.Prefix. An empty
// prompt has none.
func Prefix(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}
