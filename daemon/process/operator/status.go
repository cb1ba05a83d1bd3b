package operator

import "github.com/trefoilwell/trefoilwell/fleet/version"

// Status is the state of a daemon at one moment.
type Status struct {
	VM          version.VMID         `json:"vm"`
	DataCentre  version.DataCentreID `json:"datacentre"`
	Incarnation uint64               `json:"incarnation"`
	// Ready is set if the daemon accepts callers' requests.
	Ready bool `json:"ready"`
	// NotReadyReason is why Ready is not set.
	NotReadyReason string        `json:"not_ready_reason,omitempty"`
	Configuration  Configuration `json:"configuration"`
	// Waiting and Running count the requests that callers sent to this daemon.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Pools are the pools whose dispatcher is this daemon, sorted by name.
	Pools []Pool `json:"pools"`
	// Lapsed are the VMs of this daemon's data centre that no longer answer.
	Lapsed []version.VMID `json:"lapsed,omitempty"`
	// Members are the other daemons that this one is linked to, sorted by VM.
	Members []Member `json:"members"`
}

// Configuration describes the active configuration of a daemon.
type Configuration struct {
	// Number is the configuration's number; 0 if there is none.
	Number version.Number `json:"number"`
	// Confirmed is the number of the head that the platform has confirmed. It is
	// lower than Number while Orders are not yet written to the platform.
	Confirmed version.Number `json:"confirmed"`
	Preset    string         `json:"preset,omitempty"`
	// Out names the data centres, VMs and upstreams that are out of service.
	Out version.OutOfServiceNames `json:"out"`
	// Orders are active on this daemon but not yet written to the platform.
	Orders []version.Order `json:"orders,omitempty"`
	// Watching is set if this daemon reads the configuration from the platform itself.
	Watching bool `json:"watching"`
}

// Member is another daemon as seen from this one.
type Member struct {
	VM          version.VMID         `json:"vm"`
	DataCentre  version.DataCentreID `json:"datacentre"`
	Incarnation uint64               `json:"incarnation"`
	// Confirmed is the number of the newest head that the member is known to have.
	Confirmed version.Number `json:"confirmed"`
	// Leaving is set if the member was draining when it was linked.
	Leaving bool `json:"leaving,omitempty"`
}

// Pool is the state of a pool in one data centre, as its dispatcher sees it.
type Pool struct {
	Name string `json:"name"`
	// Waiting counts the queued requests.
	Waiting int `json:"waiting"`
	// SlotsUsed and SlotsLimit are totals over the upstreams that are in service.
	SlotsUsed  int `json:"slots_used"`
	SlotsLimit int `json:"slots_limit"`
	// Upstreams counts all upstreams of the pool in the data centre, and Cold the cold
	// ones among them.
	Upstreams int `json:"upstreams"`
	Cold      int `json:"cold"`
}
