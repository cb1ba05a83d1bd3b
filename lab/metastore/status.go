package metastore

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// statusPath follows the path of an object whose status is written.
const statusPath = platformtest.StatusPath

// isStatusWrite reports whether a write to a name is one of the status of an object.
func isStatusWrite(method, name string) bool {
	return method == http.MethodPut && strings.HasSuffix(name, statusPath)
}

// applyStatus replaces the status of an object if the write names the revision of its last change.
// The revision stays the same if the status does. s.mu must be held.
func (s *Store) applyStatus(kind, name string, body object) (int, object) {
	stored, present := s.kinds[kind][name]
	switch {
	case !present:
		return http.StatusNotFound, object{}
	case len(body.Status) == 0:
		return http.StatusBadRequest, object{}
	case body.Metadata.Revision != stored.Metadata.Revision:
		return http.StatusConflict, stored
	case string(body.Status) == string(stored.Status):
		return http.StatusOK, stored
	}
	s.revision++
	stored.Metadata.Revision, stored.Status = s.revision, body.Status
	s.kinds[kind][name] = stored
	s.record(event{Object: stored, kind: kind, revision: s.revision})
	return http.StatusOK, stored
}

// applyLate applies a write after a time if its condition still holds then.
func (s *Store) applyLate(late time.Duration, kind, name string, body object) {
	time.AfterFunc(late, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(http.MethodPut, kind, name, body)
	})
}

// Status returns the status of an object; nil if it has none or does not exist.
func (s *Store) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Status
}
