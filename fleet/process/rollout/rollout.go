// Package rollout decides which software version of a service runs each request while an
// operator's order moves the service to another version: which requests go to the new version,
// whether it is as good as the old one, and when the order is done or rolled back.
//
// A Controller does no I/O and reads no clock: the caller passes in the time, of a clock that runs
// while the VM is suspended.
package rollout

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// Options configure a Controller.
type Options struct {
	VM version.VMID
	// Incarnation identifies this process among those that run on the VM one after the other; it
	// is not 0.
	Incarnation uint64
	// ExposureShare is the fraction of a service's requests that a bad version may get. Rollouts
	// are off while it is 0: every rule is then the zero value, and every upstream is permitted.
	ExposureShare float64
	// RollbackTime is how long after its 50th bad response a version may still get requests.
	RollbackTime time.Duration
}

// State is the state of an order in its status.
type State string

const (
	// StateNone is the state of an order that has no status yet.
	StateNone State = ""
	// StateRunning is the state of an order that is carried out.
	StateRunning State = "running"
	// StateDone is the state of an order whose version runs all requests.
	StateDone State = "done"
	// StateRolledBack is the state of an order whose version runs no request.
	StateRolledBack State = "rolled_back"
)

// Phase is the phase of an order in StateRunning.
type Phase string

const (
	// PhaseCanary is the phase in which a few requests go to the new version.
	PhaseCanary Phase = "canary"
	// PhaseShifting is the phase in which all requests go to the new version.
	PhaseShifting Phase = "shifting"
)

// Status is the status of an order.
type Status struct {
	State State
	// Software is the version that the status is about.
	Software string
	// Phase and Elapsed, the time since the order, are set in StateRunning.
	Phase   Phase
	Elapsed time.Duration
	// Reason is set in StateDone and StateRolledBack.
	Reason string
}

// Order is an operator's order to move the requests of a service to a software version.
type Order struct {
	Pool version.PoolID
	// Service is the name of the service, and of the order's object in the store.
	Service  string
	Software string
	// Duration is the time limit, counted from the order.
	Duration time.Duration
	// Created is the revision at which the object was created.
	Created uint64
	// At is the present revision of the object, with the era of the store.
	At     storeera.Position
	Status Status
}

// Sample is an attempt that was sent and has ended.
type Sample struct {
	Pool     version.PoolID
	Route    string
	Upstream version.UpstreamID
	// Failed is set for a 5xx of the upstream other than a rejection that says that the request has
	// not run, and for a broken, truncated or overdue response. It is not set if the caller left.
	Failed bool
	// Overdue is set beside Failed if the response was only late: a cold upstream is not blamed for
	// that.
	Overdue bool
	// Unfinished is set for a stream that its caller may take up again, because it ended before its
	// last event, whoever broke it off.
	Unfinished bool
	// SentAt is when the attempt was sent.
	SentAt time.Time
	// FirstByte is the time from then to the first byte of the answer's body; 0 if none came.
	FirstByte time.Duration
	// Expected is the time to first byte of an idle, sound upstream for the request, without what
	// was learned of the upstream; 0 if it is not known.
	Expected time.Duration
	// EventPace is the mean time between the events of a stream; 0 if there were too few.
	EventPace time.Duration
}

// StatusWrite is a status to write to the store, on condition that the object still has the
// revision At.
type StatusWrite struct {
	Pool    version.PoolID
	Service string
	At      storeera.Position
	Status  Status
}

// WriteResult is what came of a write.
type WriteResult uint8

const (
	// WriteApplied means that the store has confirmed the write.
	WriteApplied WriteResult = iota
	// WriteConflict means that the object has another revision, or is gone.
	WriteConflict
	// WriteFailed means that the write was not applied and will not be.
	WriteFailed
	// WriteUnknown means that the write may have been applied, or may be applied later.
	WriteUnknown
)

// Notice reports a change for the log.
type Notice struct {
	Service  string
	Software string
	// Event says what happened.
	Event string
	// Reason is the cause, empty if there is none.
	Reason  string
	Elapsed time.Duration
}

// Overview describes a rollout for operators and metrics.
type Overview struct {
	Service  string        `json:"service"`
	Software string        `json:"software"`
	State    State         `json:"state"`
	Phase    Phase         `json:"phase,omitempty"`
	Reason   string        `json:"reason,omitempty"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	Duration time.Duration `json:"duration_ns"`
	// Age is the time since the read that this VM's knowledge of the order comes from was sent.
	Age time.Duration `json:"age_ns"`
	// Condemned is why the version was condemned; empty if it was not.
	Condemned string `json:"condemned,omitempty"`
	// Canary are the names of the upstreams that get the requests of PhaseCanary.
	Canary []string `json:"canary,omitempty"`
	// Requests, Sent, Ended, Failed and Slow are sums over all VMs: the callers' requests, the
	// attempts sent to the new version, and those of them that ended, failed and were slow.
	Requests uint64 `json:"requests"`
	Sent     uint64 `json:"sent"`
	Ended    uint64 `json:"ended"`
	Failed   uint64 `json:"failed"`
	Slow     uint64 `json:"slow"`
	// VMs is the number of VMs heard, Drained the number of those that have nothing at old
	// upstreams, and OldRunning the number of attempts there.
	VMs        int `json:"vms"`
	Drained    int `json:"drained"`
	OldRunning int `json:"old_running"`
}

// Controller decides for one VM. It is not safe for concurrent use.
type Controller struct {
	options Options
	// versions are the software versions that are registered or were lately; upstreams are the
	// upstreams of these.
	versions  map[poolVersion]*versionState
	upstreams map[version.UpstreamID]*upstream
	// limitsCold are the pools that limit the requests to cold upstreams.
	limitsCold map[version.PoolID]bool
	// configured is set once there was a configuration.
	configured bool
	// excluded are the versions of a pool that get no request whatever its order says.
	excluded map[version.PoolID][]string
	// routeNames are the names of the routes by their hashes.
	routeNames map[uint32]string
	// running and runningAt count the attempts of this VM by pool, and by software version.
	running   map[version.PoolID]int
	runningAt map[poolVersion]int
	// orders are the orders in force, by pool. former are those that are no longer in the store,
	// for the case that it has lost them.
	orders, former map[version.PoolID]*order
	// streamVersions are the software versions, by pool, at which streams may begin that callers may
	// take up; nil allows all.
	streamVersions map[version.PoolID][]string
	// readAt is when the read was sent that the orders come from; zero before the first one.
	readAt time.Time
	// listedAt is the position at which the store had these orders.
	listedAt storeera.Position
	// members are the VMs of the fleet, sorted; membersChangedAt is when one was added or removed.
	members          []version.VMID
	membersChangedAt time.Time
	// othersVMs and othersAt are the number of other VMs heard, and when they were heard.
	othersVMs int
	othersAt  time.Time
	// levels are the times that sound responses take, by pool and route.
	levels  map[levelKey]*level
	notices []Notice
}

// New returns a controller that knows nothing.
func New(options Options) *Controller {
	return &Controller{
		options:    options,
		versions:   make(map[poolVersion]*versionState),
		upstreams:  make(map[version.UpstreamID]*upstream),
		excluded:   make(map[version.PoolID][]string),
		routeNames: make(map[uint32]string),
		limitsCold: make(map[version.PoolID]bool),
		running:    make(map[version.PoolID]int),
		runningAt:  make(map[poolVersion]int),
		orders:     make(map[version.PoolID]*order),
		former:     make(map[version.PoolID]*order),
		levels:     make(map[levelKey]*level),
	}
}

// enabled reports whether rollouts are on.
func (c *Controller) enabled() bool { return c.options.ExposureShare > 0 }

// maxNotices bounds the notices that wait for the log.
const maxNotices = 64

func (c *Controller) notice(now time.Time, o *order, event, reason string) {
	if len(c.notices) < maxNotices {
		c.notices = append(c.notices, Notice{
			Service: o.Service, Software: o.Software, Event: event, Reason: reason, Elapsed: o.elapsed(now),
		})
	}
}

// Notices returns the notices since the last call.
func (c *Controller) Notices() []Notice {
	notices := c.notices
	c.notices = nil
	return notices
}
