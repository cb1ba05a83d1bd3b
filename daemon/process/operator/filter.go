package operator

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// ErrBadFilter marks a timeline query with an invalid parameter.
var ErrBadFilter = errors.New("bad time line filter")

// Filter selects the events of a timeline that match all its fields. A zero field matches
// every event.
type Filter struct {
	// Since is the earliest stamp to select, in milliseconds since the Unix epoch.
	Since int64
	Kind  timeline.Kind
	// Request selects the events of one request.
	Request  request.Key
	Account  version.AccountID
	Upstream version.UpstreamID
}

// ParseFilter parses a timeline query. Its parameters are since (milliseconds since the
// Unix epoch), kind, request (VM/incarnation/number), account and upstream (names). Its
// error is an ErrBadFilter.
func ParseFilter(query url.Values) (Filter, error) {
	filter := Filter{Kind: timeline.Kind(query.Get("kind"))}
	if since := query.Get("since"); since != "" {
		millis, err := strconv.ParseInt(since, 10, 64)
		if err != nil {
			return Filter{}, errors.Wrapf(ErrBadFilter, "since %q is not a number of milliseconds", since)
		}
		filter.Since = millis
	}
	if text := query.Get("request"); text != "" {
		key, err := parseRequestKey(text)
		if err != nil {
			return Filter{}, err
		}
		filter.Request = key
	}
	if name := query.Get("account"); name != "" {
		filter.Account = version.NewAccountID(name)
	}
	if name := query.Get("upstream"); name != "" {
		filter.Upstream = version.NewUpstreamID(name)
	}
	return filter, nil
}

// parseRequestKey parses a request's key in the form VM/incarnation/number.
func parseRequestKey(text string) (request.Key, error) {
	fields := strings.Split(text, "/")
	if len(fields) != 3 {
		return request.Key{}, errors.Wrapf(ErrBadFilter, "request %q is not VM/incarnation/number", text)
	}
	incarnation, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return request.Key{}, errors.Wrapf(ErrBadFilter, "request %q: incarnation is not a number", text)
	}
	id, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return request.Key{}, errors.Wrapf(ErrBadFilter, "request %q: the last part is not a number", text)
	}
	return request.Key{Entry: version.VMID(fields[0]), Incarnation: incarnation, ID: request.ID(id)}, nil
}

// Matches reports whether the filter selects an event.
func (f Filter) Matches(event timeline.Event) bool {
	switch {
	case event.Stamp.Millis < f.Since:
		return false
	case f.Kind != "" && event.Kind != f.Kind:
		return false
	case f.Request != request.Key{} && event.Request != f.Request:
		return false
	case f.Account != 0 && event.Account != f.Account:
		return false
	case f.Upstream != 0 && event.Upstream != f.Upstream:
		return false
	default:
		return true
	}
}
