package wire

import "github.com/trefoilwell/trefoilwell/fleet/version"

const (
	// KindPromptEvidence tags PromptEvidence.
	KindPromptEvidence Kind = 90
	// KindRequestEvidence tags RequestEvidence.
	KindRequestEvidence Kind = 91
)

// promptDecoders decodes the messages on what crashes upstreams.
var promptDecoders = map[Kind]decoder{
	KindPromptEvidence:  decodeAs[PromptEvidence],
	KindRequestEvidence: decodeAs[RequestEvidence],
}

// PromptEvidence tells what a daemon has learned of prompt segments that may crash
// upstreams. Ages are relative to the time of sending. A lost or repeated message does no
// harm, since a daemon that is linked again is told everything.
type PromptEvidence struct {
	_        struct{} `cbor:",toarray"`
	Crashes  []UpstreamCrash
	Answered []SegmentAnswer
	// Begun are answers that had begun for some time when they broke off.
	Begun []SegmentAnswer
	Holds []SegmentHold
}

// UpstreamCrash is a crash of an upstream with the shared prompt segments of the attempts
// that were in flight there.
type UpstreamCrash struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	AgeMS    uint32
	Suspects []SegmentSuspect
}

// SegmentSuspect is a prompt segment that was in flight at a crash.
type SegmentSuspect struct {
	_       struct{} `cbor:",toarray"`
	Segment uint64
	// InFlightMS is how long before the crash the latest request with the segment was sent.
	InFlightMS uint32
	// Position is the segment's index in the prompt, and Previous the segment before it; 0
	// if it is the first one.
	Position uint8
	Previous uint64
	// Begun is set if the answers of all requests with the segment had begun.
	Begun bool
}

// SegmentAnswer is an answer to a prompt with a segment. AgeMS is the age of the
// answer's first event.
type SegmentAnswer struct {
	_       struct{} `cbor:",toarray"`
	Segment uint64
	AgeMS   uint32
}

// SegmentHold is a verdict: requests with the segment are refused, or, with Released, no
// longer.
type SegmentHold struct {
	_       struct{} `cbor:",toarray"`
	Segment uint64
	// Round numbers the verdicts on the segment. A release ends those of its round and
	// before.
	Round    uint32
	Released bool
	// AgeMS is the age of the verdict or of its release, LastCrashAgeMS that of the last
	// crash with the segment in flight.
	AgeMS          uint32
	LastCrashAgeMS uint32
	Crashes        uint32
	Trials         uint32
	// NextTrialMS is the time until a request with the segment is sent as a trial.
	NextTrialMS uint32
}

// Kind implements Message.
func (PromptEvidence) Kind() Kind { return KindPromptEvidence }

// IsEmpty reports whether the message tells nothing.
func (e PromptEvidence) IsEmpty() bool {
	return len(e.Crashes) == 0 && len(e.Answered) == 0 && len(e.Begun) == 0 && len(e.Holds) == 0
}

// RequestEvidence tells what a daemon has learned of requests that may crash upstreams, in the
// way of PromptEvidence. Fingerprints stand in place of segments.
type RequestEvidence struct {
	_        struct{} `cbor:",toarray"`
	Crashes  []RequestCrash
	Answered []SegmentAnswer
	Begun    []SegmentAnswer
	Holds    []SegmentHold
}

// RequestCrash is a crash of an upstream with the requests that were in flight there, of which
// there may be none.
type RequestCrash struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	// Pool is the pool of the upstream; 0 if it is not known.
	Pool     version.PoolID
	AgeMS    uint32
	Suspects []RequestSuspect
}

// RequestSuspect is a request that was in flight at a crash, and of whose answer nothing had
// come.
type RequestSuspect struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// InFlightMS is how long before the crash its latest attempt was sent.
	InFlightMS uint32
}

// Kind implements Message.
func (RequestEvidence) Kind() Kind { return KindRequestEvidence }

// IsEmpty reports whether the message tells nothing.
func (e RequestEvidence) IsEmpty() bool {
	return len(e.Crashes) == 0 && len(e.Answered) == 0 && len(e.Begun) == 0 && len(e.Holds) == 0
}
