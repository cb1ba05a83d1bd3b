package request

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Content is what a request asks for, as far as routers know it.
type Content struct {
	// Segments are the segments of its prompt; none if it has no prompt.
	Segments []PromptSegment
	// Fingerprint identifies the whole request; 0 if it is not known.
	Fingerprint uint64
}

// Fingerprint identifies what a request asks for: two requests of one account with the same
// method, host, path, query and body have the same fingerprint, whatever identifiers and
// deadlines they carry. It is never 0.
func Fingerprint(account version.AccountID, method, host, uri string, body []byte) uint64 {
	host, _, _ = strings.Cut(host, ":")
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(account))
	// Writing to a digest cannot fail.
	_, _ = digest.Write(number[:])
	for _, field := range []string{method, strings.ToLower(host), uri} {
		// Each field is preceded by its length, so that different requests cannot yield the
		// same input.
		binary.BigEndian.PutUint64(number[:], uint64(len(field)))
		_, _ = digest.Write(number[:])
		_, _ = digest.WriteString(field)
	}
	_, _ = digest.Write(body)
	return max(digest.Sum64(), 1)
}
