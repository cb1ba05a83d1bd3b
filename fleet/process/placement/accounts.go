package placement

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// shareBuckets is how finely the window is counted over which accounts share.
	shareBuckets = 8
	// defaultShareWindow is used if the platform names no window.
	defaultShareWindow = 4 * time.Second
	// levelInterval is how often the level is worked out anew.
	levelInterval = 50 * time.Millisecond
)

// use is what one account asked for and got in the window, in tokens, from all
// VMs together.
type use struct {
	asked  [shareBuckets]float64
	served [shareBuckets]float64
	// askedHere and servedHere are this VM's totals since its start.
	askedHere, servedHere float64
}

func sum(buckets [shareBuckets]float64) float64 {
	total := 0.0
	for _, n := range buckets {
		total += n
	}
	return total
}

// accounts counts what client accounts ask for and get.
type accounts struct {
	window time.Duration
	uses   map[version.AccountID]*use
	// at is the number of the current bucket since time began.
	at int64
	// level is the max-min share and best the most that an account got, at levelAt.
	level, best float64
	levelAt     time.Time
}

func newAccounts(window time.Duration) *accounts {
	if window <= 0 {
		window = defaultShareWindow
	}
	return &accounts{window: window, uses: make(map[version.AccountID]*use)}
}

func (a *accounts) of(account version.AccountID) *use {
	u := a.uses[account]
	if u == nil {
		u = &use{}
		a.uses[account] = u
	}
	return u
}

// advance empties the buckets that have left the window.
func (a *accounts) advance(now time.Time) int64 {
	at := now.UnixNano() / int64(a.window/shareBuckets)
	if at-a.at > shareBuckets {
		a.at = at - shareBuckets
	}
	for a.at < at {
		a.at++
		for _, u := range a.uses {
			u.asked[a.at%shareBuckets], u.served[a.at%shareBuckets] = 0, 0
		}
	}
	return a.at % shareBuckets
}

// ask counts a request that came here.
func (a *accounts) ask(now time.Time, account version.AccountID, tokens float64) {
	a.add(now, account, tokens, 0)
	a.uses[account].askedHere += tokens
}

// serve counts a request that was granted here.
func (a *accounts) serve(now time.Time, account version.AccountID, tokens float64) {
	a.add(now, account, 0, tokens)
	a.uses[account].servedHere += tokens
}

// add counts what an account asked for and got anywhere.
func (a *accounts) add(now time.Time, account version.AccountID, asked, served float64) {
	bucket := a.advance(now)
	u := a.of(account)
	u.asked[bucket] += asked
	u.served[bucket] += served
}

// standing is what an account had in the window beside others.
type standing struct {
	// used is what it got, relative to the level: 1 is the share of an account that
	// asks for more than there is.
	used float64
	// ofBest is what it got, relative to the account that got most, 0 to 1.
	ofBest float64
}

// standing returns what an account got.
func (a *accounts) standing(now time.Time, account version.AccountID) standing {
	a.advance(now)
	if now.Sub(a.levelAt) >= levelInterval || now.Before(a.levelAt) {
		a.level, a.best, a.levelAt = a.waterLevel(), a.mostServed(), now
	}
	if a.level <= 0 || a.best <= 0 {
		return standing{}
	}
	served := sum(a.of(account).served)
	return standing{used: served / a.level, ofBest: min(served/a.best, 1)}
}

// mostServed returns what the account got that got most.
func (a *accounts) mostServed() float64 {
	most := 0.0
	for _, u := range a.uses {
		most = max(most, sum(u.served))
	}
	return most
}

// waterLevel returns the max-min share: no account gets more than it asks for,
// and those that ask for more than the level get the level, so that together
// they get what is served.
func (a *accounts) waterLevel() float64 {
	var asked []float64
	left := 0.0
	for _, u := range a.uses {
		if want := sum(u.asked); want > 0 {
			asked = append(asked, want)
			left += sum(u.served)
		}
	}
	slices.Sort(asked)
	for i, want := range asked {
		even := left / float64(len(asked)-i)
		if want >= even {
			return even
		}
		left -= want
	}
	if len(asked) == 0 {
		return 0
	}
	// Everybody gets all that is asked for.
	return asked[len(asked)-1]
}
