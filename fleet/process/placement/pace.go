package placement

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

const (
	// paceHalfLife is the age at which a reported pace counts half. Spells of a machine that is
	// slow because others use it last some 600 ms.
	paceHalfLife = 250 * time.Millisecond
	// paceTTL is the age from which a pace counts no longer. An upstream that gets no requests
	// because of its pace is tried again after it.
	paceTTL = time.Second
	// ownPaceTTL is how long a pace that this VM has heard is reported to other VMs: two report
	// intervals of a large fleet.
	ownPaceTTL = 250 * time.Millisecond
	// minPace and maxPace bound what a reported pace may say. Upstreams are not faster than
	// usual by much; one that claims to be, or claims to be slow, attracts or loses little.
	minPace = 0.8
	maxPace = 3
	// minPaceFactor bounds the factor of an upstream that is usually slow and is not at present.
	minPaceFactor = 1.0 / maxPace
)

// pace is what an upstream reports of the pace of its machine: 1 is as usual, 2 takes twice as long.
//
// The measured slowdown of an upstream contains its usual pace already. So a reported pace counts
// relative to typical, which averages the pace over the same answers as the slowdown, with the same
// weights. An upstream that always reports the same figure gets a factor of 1, whatever the figure,
// and only its measured slowdown counts; slowness that the slowdown has taken in is not counted
// again; without fresh figures the predictions are those of the slowdown alone.
type pace struct {
	// reported is the newest reported pace, of reportedAt; zero if there is none.
	reported   float64
	reportedAt time.Time
	// heardAt is when an answer to this VM reported a pace last.
	heardAt time.Time
	// heardPercent is that pace, as it was reported.
	heardPercent int
	// typical is the mean pace of the answers that make up the slowdown, of typicalAt; zero
	// stands for 1.
	typical   float64
	typicalAt time.Time
}

// record records a pace that an answer has reported at the given time. It is ignored if a newer one
// is known.
func (c *pace) record(at time.Time, percent int) {
	if percent <= 0 || at.Before(c.reportedAt) {
		return
	}
	c.reported, c.reportedAt = clamp(float64(percent)/100, minPace, maxPace), at
}

// factor returns how much longer work takes at present than the slowdown tells, from the reported
// pace, decayed towards 1 by its age.
func (c *pace) factor(now time.Time) float64 {
	age := now.Sub(c.reportedAt)
	if c.reported == 0 || age >= paceTTL {
		return 1
	}
	factor := clamp(c.reported/c.currentTypical(now), minPaceFactor, maxPace)
	return 1 + (factor-1)*decay(max(age, 0), paceHalfLife)
}

// current returns the estimated pace, which is typical if nothing was reported lately.
func (c *pace) current(now time.Time) float64 { return c.currentTypical(now) * c.factor(now) }

// currentTypical returns typical, decayed towards 1 like the slowdown.
func (c *pace) currentTypical(now time.Time) float64 {
	if c.typical == 0 {
		return 1
	}
	return 1 + (c.typical-1)*decay(max(now.Sub(c.typicalAt), 0), slowdownHalfLife)
}

// recordSample records the pace during an answer that changes the slowdown.
func (c *pace) recordSample(now time.Time, sample float64) {
	if c.reported == 0 {
		return
	}
	c.typical, c.typicalAt = c.currentTypical(now)*(1-slowdownWeight)+sample*slowdownWeight, now
}

// slowness returns how long the upstream takes relative to the prediction for a usual one: its
// measured slowdown, corrected by its reported pace.
func (u *upstream) slowness(now time.Time) float64 {
	if u.pace.reported == 0 {
		return u.currentSlowdown(now)
	}
	return clamp(u.currentSlowdown(now)*u.pace.factor(now), minSlowdown, maxSlowdown)
}

// recordPace records a reported pace. The backlog that the upstream has at that time takes
// accordingly longer or shorter.
func (u *upstream) recordPace(now, at time.Time, percent int) {
	before := u.pace.factor(now)
	u.pace.record(at, percent)
	if backlog := u.prefillDoneAt.Sub(now); backlog > 0 {
		u.prefillDoneAt = now.Add(time.Duration(float64(backlog) * u.pace.factor(now) / before))
	}
}

// PaceReport returns the paces that upstreams have reported to this VM lately, for the other VMs.
// It does not contain what other VMs have told.
func (p *Placer) PaceReport(now time.Time) wire.PaceReport {
	var report wire.PaceReport
	for _, pool := range p.upstreamsByPool {
		for _, u := range pool {
			if age := now.Sub(u.pace.heardAt); u.pace.heardPercent > 0 && age <= ownPaceTTL {
				report.Upstreams = append(report.Upstreams, wire.NewUpstreamPace(u.ID, u.pace.heardPercent, age))
			}
		}
	}
	return report
}

// ReceivePaces processes a pace report of another VM.
func (p *Placer) ReceivePaces(now time.Time, report wire.PaceReport) {
	for _, entry := range report.Upstreams {
		if u := p.upstreams[entry.Upstream]; u != nil && entry.Age() < paceTTL {
			u.recordPace(now, now.Add(-entry.Age()), int(entry.Percent))
		}
	}
}

// PaceStatus is what is known of the pace of an upstream.
type PaceStatus struct {
	Name string
	// Percent is the newest reported pace, within its bounds, and Age the time since it was
	// reported.
	Percent int
	Age     time.Duration
	// Factor is the factor by which the pace changes the predictions at present.
	Factor float64
}

// Paces returns the paces that change predictions at present.
func (p *Placer) Paces(now time.Time) []PaceStatus {
	var list []PaceStatus
	for _, pool := range p.upstreamsByPool {
		for _, u := range pool {
			if age := now.Sub(u.pace.reportedAt); u.pace.reported > 0 && age < paceTTL {
				list = append(list, PaceStatus{Name: u.Name, Percent: int(math.Round(100 * u.pace.reported)), Age: age, Factor: u.pace.factor(now)})
			}
		}
	}
	return list
}
