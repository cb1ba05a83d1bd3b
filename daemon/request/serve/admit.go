package serve

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// HeaderDeadline is the caller's limit, in milliseconds, on the time to the first byte
	// of the response.
	HeaderDeadline = "X-Trefoilwell-Deadline-Ms"
	// HeaderCostHint is the caller's estimate of the request's cost, in generated tokens.
	HeaderCostHint = "X-Trefoilwell-Cost-Hint"
	// HeaderIdempotencyKey carries a key; requests with the same key are executed at most
	// once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// DefaultDeadline limits a request's wait if the caller sets no deadline.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline is the longest deadline that a caller may set.
	MaxDeadline = 10 * time.Minute
	// MaxCostHint is the largest cost hint that a caller may send, in generated tokens.
	MaxCostHint = 1_000_000
	// MaxHeaders limits the number of header lines of a request.
	MaxHeaders = 100
	// idempotencyKeyVersion is the required UUID version of an idempotency key.
	idempotencyKeyVersion = 7
)

// singleValueHeaders are the headers that a request may contain at most once.
var singleValueHeaders = []string{
	"Authorization",
	"Content-Type",
	HeaderDeadline,
	HeaderCostHint,
	HeaderIdempotencyKey,
}

// admission is the result of authenticating a request and parsing its headers.
type admission struct {
	config  *version.Config
	account *version.Account
	// deadline limits the time to the first byte of the response; 0 means none.
	deadline time.Duration
	// costHint is in generated tokens; 0 if the caller sent none.
	costHint request.Cost
	// idempotencyKey is nil if the caller sent none.
	idempotencyKey *claim.Key
}

// admit authenticates a request and parses its headers.
func (h *Handler) admit(r *http.Request) (*admission, *request.Refusal) {
	config := h.options.Fleet.Config()
	if config == nil {
		return nil, refuse(request.ReasonNotReady, "this router has no configuration yet")
	}
	if refusal := checkHeaders(r.Header); refusal != nil {
		return nil, refusal
	}
	account, found := accountFromHeader(config, r.Header)
	if !found {
		return nil, refuse(request.ReasonUnauthorised, "send a known API key as a bearer token")
	}
	admitted := &admission{config: config, account: account}
	if refusal := admitted.parseHeaders(r.Header); refusal != nil {
		return nil, refusal
	}
	return admitted, nil
}

func checkHeaders(header http.Header) *request.Refusal {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	if lines > MaxHeaders {
		return refuse(request.ReasonBadRequest, "there are too many headers")
	}
	for _, name := range singleValueHeaders {
		if len(header[name]) > 1 {
			return refuse(request.ReasonBadRequest, name+" must come once")
		}
	}
	return nil
}

func accountFromHeader(config *version.Config, header http.Header) (*version.Account, bool) {
	scheme, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, false
	}
	return config.AccountByKey(key)
}

// parseHeaders parses the headers that are addressed to the router.
func (a *admission) parseHeaders(header http.Header) *request.Refusal {
	millis, ok := parseBoundedInt(header, HeaderDeadline, MaxDeadline.Milliseconds())
	if !ok {
		return refuse(request.ReasonBadRequest, HeaderDeadline+" must be 1 to "+
			strconv.FormatInt(MaxDeadline.Milliseconds(), 10))
	}
	a.deadline = time.Duration(millis) * time.Millisecond
	hint, ok := parseBoundedInt(header, HeaderCostHint, MaxCostHint)
	if !ok {
		return refuse(request.ReasonBadRequest, HeaderCostHint+" must be 1 to "+strconv.Itoa(MaxCostHint))
	}
	a.costHint = request.Cost(hint)
	key, refusal := parseIdempotencyKey(header)
	a.idempotencyKey = key
	return refusal
}

// parseBoundedInt parses a header as an integer from 1 to limit. It returns 0 if the header
// is absent, and false if its value is invalid.
func parseBoundedInt(header http.Header, name string, limit int64) (int64, bool) {
	values, present := header[name]
	if !present {
		return 0, true
	}
	number, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || number < 1 || number > limit {
		return 0, false
	}
	return number, true
}

// parseIdempotencyKey parses the idempotency key, which may be quoted. It returns nil if
// the header is absent.
func parseIdempotencyKey(header http.Header) (*claim.Key, *request.Refusal) {
	values, present := header[HeaderIdempotencyKey]
	if !present {
		return nil, nil
	}
	text := values[0]
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	const textLength = 36
	id, err := uuid.Parse(text)
	if err != nil || len(text) != textLength || id.Version() != idempotencyKeyVersion || id.Variant() != uuid.RFC4122 {
		return nil, refuse(request.ReasonBadIdempotencyKey, HeaderIdempotencyKey+" must be a UUID of version 7")
	}
	key := claim.Key(id)
	return &key, nil
}
