package quarantine

import (
	"strconv"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// Subject is what may crash upstreams: a prompt segment, which several requests may have, or
// one request.
type Subject struct {
	// Request is set if ID is the fingerprint of a request. Otherwise it identifies a segment.
	Request bool
	ID      uint64
}

// String returns the identifier as callers, operators and logs write it.
func (s Subject) String() string { return strconv.FormatUint(s.ID, 16) }

// segmentSubject returns the subject of a prompt segment.
func segmentSubject(segment request.PromptSegment) Subject { return Subject{ID: segment.ID} }

// compare orders subjects, segments first.
func (s Subject) compare(other Subject) int {
	switch {
	case s.Request != other.Request && s.Request:
		return 1
	case s.Request != other.Request:
		return -1
	case s.ID < other.ID:
		return -1
	case s.ID > other.ID:
		return 1
	}
	return 0
}

// subjects returns what may make a request crash upstreams: the segments of its prompt that other
// requests may have too, and the request itself.
func subjects(content request.Content) []Subject {
	segments := shared(content.Segments)
	list := make([]Subject, 0, len(segments)+1)
	for _, segment := range segments {
		list = append(list, segmentSubject(segment))
	}
	if content.Fingerprint != 0 {
		list = append(list, Subject{Request: true, ID: content.Fingerprint})
	}
	return list
}

// shared returns the segments of a prompt that other requests may have too: all but the
// last one.
func shared(segments []request.PromptSegment) []request.PromptSegment {
	return segments[:min(max(len(segments)-1, 0), maxSegments)]
}
