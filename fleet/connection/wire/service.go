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
	// KindServiceDataCentreReport tags ServiceDataCentreReport.
	KindServiceDataCentreReport Kind = 32
	// KindServiceRestore tags ServiceRestore.
	KindServiceRestore Kind = 33
	// KindProgress tags Progress.
	KindProgress Kind = 34
	// KindServiceHandover tags ServiceHandover.
	KindServiceHandover Kind = 35
)

// serviceDecoders decodes the messages that account for the service that accounts
// received.
var serviceDecoders = map[Kind]decoder{
	KindServiceReport:           decodeAs[ServiceReport],
	KindServiceLevels:           decodeAs[ServiceLevels],
	KindServiceDataCentreReport: decodeAs[ServiceDataCentreReport],
	KindServiceRestore:          decodeAs[ServiceRestore],
	KindProgress:                decodeAs[Progress],
	KindServiceHandover:         decodeAs[ServiceHandover],
}

// ServiceRecord is the service charged to an account, in whole weighted cost units.
// Charged and Returned never decrease.
type ServiceRecord struct {
	_        struct{} `cbor:",toarray"`
	Account  version.AccountID
	Charged  uint64
	Returned uint64
	// Lift is added to the counts while the account is backlogged, so that an account
	// cannot save up service while it is idle.
	Lift uint64
	// Backlogged is set while the account has waiting requests at the source of the
	// record; in ServiceLevels, while it has them at any daemon but the receiver.
	Backlogged bool
}

// ServiceReport reports to an account's accounting home the service that the sender's
// dispatchers counted.
type ServiceReport struct {
	_       struct{} `cbor:",toarray"`
	Records []ServiceRecord
}

// ServiceLevels reports to a dispatcher the service that daemons other than its own
// counted.
type ServiceLevels struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the low 32 bits of the receiver's incarnation. The records exclude
	// the service that this process counted, and no other.
	Incarnation uint32
	// Sequence orders the messages of one accounting home.
	Sequence uint64
	// Partial is set by an accounting home that may lack the sums of other data
	// centres.
	Partial bool
	Records []ServiceRecord
}

// ServiceDataCentreReport reports the sum of the sender's data centre to the accounting
// homes in another data centre.
type ServiceDataCentreReport struct {
	_          struct{} `cbor:",toarray"`
	DataCentre version.DataCentreID
	// Forwarded is set if the first receiver was not the accounting home.
	Forwarded bool
	Records   []ServiceRecord
}

// ServiceRestore returns to an accounting home that lost its state the last sum of its
// own data centre that is known elsewhere.
type ServiceRestore struct {
	_         struct{} `cbor:",toarray"`
	Forwarded bool
	Records   []ServiceRecord
}

// Progress reports to a dispatcher that a running attempt has cost more than was
// charged.
type Progress struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.PoolID
	ID      request.ID
	Attempt request.Attempt
	// Cost is the cost so far in whole units.
	Cost uint32
}

// ServiceHandover transfers the state of an account from its former accounting home to
// the new one.
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

// ServiceSource is the service that the incarnations of one VM counted.
type ServiceSource struct {
	_  struct{} `cbor:",toarray"`
	VM version.VMID
	// Folded is the last incarnation whose count is included in Base.
	Folded       uint64
	Base         ServiceCount
	Incarnations []ServiceIncarnation
}

// ServiceIncarnation is the service that one incarnation counted.
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
func (ServiceDataCentreReport) Kind() Kind { return KindServiceDataCentreReport }

// Kind implements Message.
func (ServiceRestore) Kind() Kind { return KindServiceRestore }

// Kind implements Message.
func (Progress) Kind() Kind { return KindProgress }

// Kind implements Message.
func (ServiceHandover) Kind() Kind { return KindServiceHandover }
