package wire

import "github.com/trefoilwell/trefoilwell/fleet/version"

const (
	// KindVacancyRequest tags VacancyRequest.
	KindVacancyRequest Kind = 40
	// KindVacancy tags Vacancy.
	KindVacancy Kind = 41
)

// spillDecoders decodes the messages between dispatchers of a pool in different data
// centres.
var spillDecoders = map[Kind]decoder{
	KindVacancyRequest: decodeAs[VacancyRequest],
	KindVacancy:        decodeAs[Vacancy],
}

// VacancyRequest asks a dispatcher in another data centre to report its free slots for
// a while.
type VacancyRequest struct {
	_    struct{} `cbor:",toarray"`
	Pool version.PoolID
}

// Vacancy reports how many slots a dispatcher has free for other data centres, and the
// lowest service level of the accounts that wait there.
type Vacancy struct {
	_    struct{} `cbor:",toarray"`
	Pool version.PoolID
	Free uint32
	// LowestLevel is 1 plus the lowest level of a waiting account, in weighted cost
	// units; 0 if no account waits.
	LowestLevel uint64
}

// Kind implements Message.
func (VacancyRequest) Kind() Kind { return KindVacancyRequest }

// Kind implements Message.
func (Vacancy) Kind() Kind { return KindVacancy }
