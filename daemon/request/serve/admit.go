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
	// HeaderDeadline is a caller's bound, in milliseconds, on the time until
	// its answer begins.
	HeaderDeadline = "X-Trefoilwell-Deadline-Ms"
	// HeaderCostHint is a caller's guess at its request's cost, in generated
	// tokens.
	HeaderCostHint = "X-Trefoilwell-Cost-Hint"
	// HeaderIdempotencyKey makes a request run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// DefaultDeadline bounds a request's wait if the caller sets none.
	DefaultDeadline = 60 * time.Second
	// MaxDeadline bounds a caller's deadline.
	MaxDeadline = 10 * time.Minute
	// MaxCostHint bounds a caller's cost hint.
	MaxCostHint = 1_000_000
	// MaxHeaders bounds the number of a request's header lines.
	MaxHeaders = 100
	// keyVersion is the UUID version of an idempotency key.
	keyVersion = 7
)

// singleValued are the headers that may come once.
var singleValued = []string{
	"Authorization",
	"Content-Type",
	HeaderDeadline,
	HeaderCostHint,
	HeaderIdempotencyKey,
}

// admission is what the headers of an admitted request say.
type admission struct {
	config  *version.Config
	account *version.Account
	// deadline bounds the time until the answer begins; 0 is none.
	deadline time.Duration
	// costHint is 0 if there is none.
	costHint request.Cost
	// key is nil if there is none.
	key *claim.Key
}

// admit authenticates a request and reads its headers.
func (h *Handler) admit(r *http.Request) (*admission, *request.Refusal) {
	config := h.options.Fleet.Config()
	if config == nil {
		return nil, refuse(request.ReasonNotReady, "this router has no configuration yet")
	}
	if refusal := checkHeaders(r.Header); refusal != nil {
		return nil, refusal
	}
	account, known := accountOf(config, r.Header)
	if !known {
		return nil, refuse(request.ReasonUnauthorised, "send a known API key as a bearer token")
	}
	admitted := &admission{config: config, account: account}
	if refusal := admitted.read(r.Header); refusal != nil {
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
	for _, name := range singleValued {
		if len(header[name]) > 1 {
			return refuse(request.ReasonBadRequest, name+" must come once")
		}
	}
	return nil
}

func accountOf(config *version.Config, header http.Header) (*version.Account, bool) {
	scheme, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return nil, false
	}
	return config.AccountByKey(key)
}

// read parses the router's own headers.
func (a *admission) read(header http.Header) *request.Refusal {
	millis, ok := boundedNumber(header, HeaderDeadline, MaxDeadline.Milliseconds())
	if !ok {
		return refuse(request.ReasonBadRequest, HeaderDeadline+" must be 1 to "+
			strconv.FormatInt(MaxDeadline.Milliseconds(), 10))
	}
	a.deadline = time.Duration(millis) * time.Millisecond
	hint, ok := boundedNumber(header, HeaderCostHint, MaxCostHint)
	if !ok {
		return refuse(request.ReasonBadRequest, HeaderCostHint+" must be 1 to "+strconv.Itoa(MaxCostHint))
	}
	a.costHint = request.Cost(hint)
	key, refusal := keyOf(header)
	a.key = key
	return refusal
}

// boundedNumber reads a whole number from 1 to limit; 0 if the header is
// absent.
func boundedNumber(header http.Header, name string, limit int64) (int64, bool) {
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

// keyOf reads the idempotency key, with or without quotes.
func keyOf(header http.Header) (*claim.Key, *request.Refusal) {
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
	if err != nil || len(text) != textLength || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return nil, refuse(request.ReasonBadIdempotencyKey, HeaderIdempotencyKey+" must be a UUID of version 7")
	}
	key := claim.Key(id)
	return &key, nil
}
