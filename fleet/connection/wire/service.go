package wire

import (
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// KindServiceReport tags ServiceReport.
	KindServiceReport Kind = 30
	// KindServiceLevels tags ServiceLevels.
	KindServiceLevels Kind = 31
	// KindServiceExchange tags ServiceExchange.
	KindServiceExchange Kind = 32
	// KindServiceRestore tags ServiceRestore.
	KindServiceRestore Kind = 33
	// KindProgress tags Progress.
	KindProgress Kind = 34
	// KindServiceHandover tags ServiceHandover.
	KindServiceHandover Kind = 35
)

// serviceDecoders decodes the messages about what accounts were served.
var serviceDecoders = map[Kind]decoder{
	KindServiceReport:   decodeAs[ServiceReport],
	KindServiceLevels:   decodeAs[ServiceLevels],
	KindServiceExchange: decodeAs[ServiceExchange],
	KindServiceRestore:  decodeAs[ServiceRestore],
	KindProgress:        decodeAs[Progress],
	KindServiceHandover: decodeAs[ServiceHandover],
}

// ServiceRecord says what an account was charged, in whole weighted cost
// units. Charged and Returned only grow.
type ServiceRecord struct {
	_        struct{} `cbor:",toarray"`
	Account  version.AccountID
	Charged  uint64
	Returned uint64
	// Lift is added to the counts while the account is backlogged, so that
	// idleness is not saved up.
	Lift uint64
	// Backlogged is set while the account waits where the record comes from,
	// or elsewhere in the case of ServiceLevels.
	Backlogged bool
}

// ServiceReport tells an account's home what the sender's dispatchers counted.
type ServiceReport struct {
	_       struct{} `cbor:",toarray"`
	Records []ServiceRecord
}

// ServiceLevels tells a dispatcher what was counted elsewhere than at its own
// daemon.
type ServiceLevels struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the low 32 bits of the receiver's incarnation: the
	// records leave out what that process counted, and no other.
	Incarnation uint32
	// Sequence orders the messages of one home.
	Sequence uint64
	// Partial is set by a home that may lack the sums of other data centres.
	Partial bool
	Records []ServiceRecord
}

// ServiceExchange tells the homes in another data centre the sum of the
// sender's data centre.
type ServiceExchange struct {
	_          struct{} `cbor:",toarray"`
	DataCentre version.DataCentreID
	// Forwarded is set if the first receiver was not the home.
	Forwarded bool
	Records   []ServiceRecord
}

// ServiceRestore tells a home that lost its state the last sum of its own data
// centre that was known elsewhere.
type ServiceRestore struct {
	_         struct{} `cbor:",toarray"`
	Forwarded bool
	Records   []ServiceRecord
}

// Progress tells a dispatcher that a running attempt has cost more than was
// charged.
type Progress struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.PoolID
	ID      request.ID
	Attempt request.Attempt
	// Cost is the cost so far in whole units.
	Cost uint32
}

// ServiceHandover gives a new home what the former one knows of an account.
type ServiceHandover struct {
	_       struct{} `cbor:",toarray"`
	Account version.AccountID
	VMs     []ServiceSource
	Remotes []ServiceRemote
}

// ServiceRemote is the sum of another data centre.
type ServiceRemote struct {
	_          struct{} `cbor:",toarray"`
	DataCentre version.DataCentreID
	Count      ServiceCount
}

// ServiceSource holds what the incarnations of one VM counted.
type ServiceSource struct {
	_  struct{} `cbor:",toarray"`
	VM version.VMID
	// Folded is the last incarnation within Base.
	Folded       uint64
	Base         ServiceCount
	Incarnations []ServiceIncarnation
}

// ServiceIncarnation is the count of one incarnation.
type ServiceIncarnation struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Count       ServiceCount
}

// ServiceCount is a count in whole weighted cost units.
type ServiceCount struct {
	_        struct{} `cbor:",toarray"`
	Charged  uint64
	Returned uint64
}

// Kind implements Message.
func (ServiceReport) Kind() Kind { return KindServiceReport }

// Kind implements Message.
func (ServiceLevels) Kind() Kind { return KindServiceLevels }

// Kind implements Message.
func (ServiceExchange) Kind() Kind { return KindServiceExchange }

// Kind implements Message.
func (ServiceRestore) Kind() Kind { return KindServiceRestore }

// Kind implements Message.
func (Progress) Kind() Kind { return KindProgress }

// Kind implements Message.
func (ServiceHandover) Kind() Kind { return KindServiceHandover }
