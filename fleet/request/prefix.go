package request

import "github.com/cespare/xxhash/v2"

// prefixBytes is how many bytes at the start of a prompt Prefix hashes.
const prefixBytes = 1024

// Prefix returns the hash of the first bytes of a prompt, for Ticket.Prefix. It returns
// 0 for an empty prompt.
func Prefix(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}
