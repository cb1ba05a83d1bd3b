package wire

import "github.com/trefoilwell/trefoilwell/fleet/version"

const (
	// KindNeed tags Need.
	KindNeed Kind = 40
	// KindVacancy tags Vacancy.
	KindVacancy Kind = 41
)

// spillDecoders decodes the messages between dispatchers of a pool in different data
// centres.
var spillDecoders = map[Kind]decoder{
	KindNeed:    decodeAs[Need],
	KindVacancy: decodeAs[Vacancy],
}

// Need asks a dispatcher in another data centre to report its free slots for a while.
type Need struct {
	_    struct{} `cbor:",toarray"`
	Pool version.PoolID
}

// Vacancy reports how many slots a dispatcher has free for other data centres, and the
// lowest service level of the accounts that wait there.
type Vacancy struct {
	_    struct{} `cbor:",toarray"`
	Pool version.PoolID
	Free uint32
	// Lowest is 1 plus the lowest level of a waiting account, in weighted cost units; 0
	// if no account waits.
	Lowest uint64
}

// Kind implements Message.
func (Need) Kind() Kind { return KindNeed }

// Kind implements Message.
func (Vacancy) Kind() Kind { return KindVacancy }
