package wire

import "github.com/trefoilwell/trefoilwell/fleet/version"

// KindLoadReport tags LoadReport.
const KindLoadReport Kind = 70

// loadReportDecoders decodes the messages between daemons that place requests
// independently.
var loadReportDecoders = map[Kind]decoder{KindLoadReport: decodeAs[LoadReport]}

// LoadReport reports the load that a daemon puts on upstreams and the tokens that its
// client accounts requested and received. Its totals grow from 0 at the daemon's start,
// so a lost or repeated message does no harm.
type LoadReport struct {
	_         struct{} `cbor:",toarray"`
	Upstreams []UpstreamLoad
	Accounts  []AccountUsage
	// AgeMS is the mean age of the reported load in milliseconds at the time of
	// sending; 0 if the daemon reports its own.
	AgeMS uint32
}

// UpstreamLoad is the load of one daemon on one upstream.
type UpstreamLoad struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	// Running counts the attempts in progress.
	Running uint32
	// PendingPromptTokens is the number of prompt tokens of attempts that have not yet
	// received the first byte of their answer.
	PendingPromptTokens uint32
	// UncachedPromptTokens is the total number of prompt tokens sent that the upstream
	// had not cached.
	UncachedPromptTokens uint64
	// KVTokens is the number of tokens that the attempts in progress may occupy in the
	// upstream's KV cache.
	KVTokens uint32
}

// AccountUsage is the usage of one account at a daemon, in tokens.
type AccountUsage struct {
	_       struct{} `cbor:",toarray"`
	Account version.AccountID
	// RequestedTokens and ServedTokens are the totals of requested and served tokens.
	RequestedTokens uint64
	ServedTokens    uint64
}

// Kind implements Message.
func (LoadReport) Kind() Kind { return KindLoadReport }

// CounterIncrease returns the increase of a total of LoadReport from before to now. A
// total lower than before belongs to a process that restarted from 0.
func CounterIncrease(before, now uint64) uint64 {
	if now < before {
		return now
	}
	return now - before
}
