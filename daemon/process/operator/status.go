package operator

import "github.com/trefoilwell/trefoilwell/fleet/version"

// Status is a daemon's state at one moment.
type Status struct {
	VM          version.VMID         `json:"vm"`
	DataCentre  version.DataCentreID `json:"datacentre"`
	Incarnation uint64               `json:"incarnation"`
	// Ready is set if the daemon takes callers' requests.
	Ready bool `json:"ready"`
	// NotReadyReason tells why Ready is not set.
	NotReadyReason string        `json:"not_ready_reason,omitempty"`
	Configuration  Configuration `json:"configuration"`
	// Waiting and Running are the requests that callers gave to this daemon.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Pools are those that this daemon dispatches, by name.
	Pools []Pool `json:"pools"`
	// Lapsed are the VMs of the own data centre that no longer answer.
	Lapsed []version.VMID `json:"lapsed,omitempty"`
	// Members are the other daemons that this one is linked to, by VM.
	Members []Member `json:"members"`
}

// Configuration is what is in force on a daemon.
type Configuration struct {
	// Number is 0 if there is none.
	Number version.Number `json:"number"`
	// Confirmed is the number of the head that the platform confirmed; it is
	// lower than Number while Orders wait for the platform.
	Confirmed version.Number   `json:"confirmed"`
	Preset    string           `json:"preset,omitempty"`
	Out       version.OutNames `json:"out"`
	// Orders are in force here but not yet in the platform.
	Orders []version.Order `json:"orders,omitempty"`
	// Watching is set if this daemon reads the platform itself.
	Watching bool `json:"watching"`
}

// Member is another daemon as seen from here.
type Member struct {
	VM          version.VMID         `json:"vm"`
	DataCentre  version.DataCentreID `json:"datacentre"`
	Incarnation uint64               `json:"incarnation"`
	// Confirmed is the newest head that the member is known to hold.
	Confirmed version.Number `json:"confirmed"`
	Leaving   bool           `json:"leaving,omitempty"`
}

// Pool is one pool in one data centre, as its dispatcher sees it.
type Pool struct {
	Name string `json:"name"`
	// Waiting are the queued requests.
	Waiting int `json:"waiting"`
	// SlotsUsed and SlotsLimit add up the upstreams that are in service.
	SlotsUsed  int `json:"slots_used"`
	SlotsLimit int `json:"slots_limit"`
	// Upstreams are all upstreams of the pool here, and Cold those of them that
	// are cold.
	Upstreams int `json:"upstreams"`
	Cold      int `json:"cold"`
}
