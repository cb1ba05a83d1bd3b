package wire

import "github.com/trefoilwell/trefoilwell/fleet/version"

// KindWork tags Work. Kinds 70 to 79 are in this file.
const KindWork Kind = 70

// workDecoders decodes the messages between daemons that place requests on
// their own.
var workDecoders = map[Kind]decoder{KindWork: decodeAs[Work]}

// Work tells what a daemon has sent to upstreams and what its client accounts
// asked for. Totals grow from 0 at the daemon's start, so a message that is lost
// or comes twice does no harm.
type Work struct {
	_         struct{} `cbor:",toarray"`
	Upstreams []UpstreamWork
	Accounts  []AccountWork
	// AgeMS is how old the work was on the mean when this was sent, in milliseconds: 0 if
	// the daemon tells of its own.
	AgeMS uint32
}

// UpstreamWork is a daemon's work on one upstream.
type UpstreamWork struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	// Running counts the attempts that are under way.
	Running uint32
	// Unread is the prompt tokens of attempts whose answer has not begun.
	Unread uint32
	// Read is the total of prompt tokens sent that the upstream did not keep.
	Read uint64
	// Memory is the tokens that the attempts under way may take.
	Memory uint32
}

// AccountWork is what one account got from a daemon, in tokens.
type AccountWork struct {
	_       struct{} `cbor:",toarray"`
	Account version.AccountID
	// Asked and Served are totals.
	Asked  uint64
	Served uint64
}

// Kind implements Message.
func (Work) Kind() Kind { return KindWork }

// Growth returns by how much a total of Work grew. One that is lower than before
// belongs to a process that started anew, from 0.
func Growth(before, now uint64) uint64 {
	if now < before {
		return now
	}
	return now - before
}
