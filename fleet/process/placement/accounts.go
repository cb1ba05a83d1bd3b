package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// shareBuckets is the number of buckets into which the share window is divided.
	shareBuckets = 8
	// defaultShareWindow is used if the platform sets no window.
	defaultShareWindow = 4 * time.Second
	// fairShareInterval is how often the fair share is recomputed.
	fairShareInterval = 50 * time.Millisecond
	// initialReportLag is the assumed report lag before reports are received, and reportLagWeight the
	// weight of the newest report in it.
	initialReportLag = 300 * time.Millisecond
	reportLagWeight  = 0.1
	// overAskFactor is how many times the fair share an account must request for the grants of other
	// VMs to be estimated: one that requests little can't overshoot its share by much.
	overAskFactor = 2
)

// accountUsage is what one account requested and was granted in the share window, in tokens,
// over all VMs.
type accountUsage struct {
	requested [shareBuckets]float64
	granted   [shareBuckets]float64
	// requestedOfVM is the part of requested that this VM received.
	requestedOfVM [shareBuckets]float64
	// recent is what this VM granted in about the last report lag, as of recentAt.
	recent   float64
	recentAt time.Time
	// refusedBelowShare is what this VM refused while the account was below its fair share.
	refusedBelowShare [shareBuckets]float64
	// requestedHere and grantedHere are this VM's totals since its start, in tokens.
	requestedHere, grantedHere float64
}

// sum adds up the buckets of the share window.
func sum(buckets [shareBuckets]float64) float64 {
	total := 0.0
	for _, n := range buckets {
		total += n
	}
	return total
}

// usageTracker counts the tokens that client accounts request and are granted.
type usageTracker struct {
	window    time.Duration
	byAccount map[version.AccountID]*accountUsage
	// bucket is the number of the current bucket, counted from the Unix epoch.
	bucket int64
	// reportLag is how old the usage is that other VMs have reported, just before their next report.
	reportLag time.Duration
	// startedAt is when the first usage was counted.
	startedAt time.Time
	// tokensPerSecond is the token rate of the fleet; 0 if it is not known.
	tokensPerSecond float64
	// shareLevels are as of computedAt.
	shareLevels
	computedAt time.Time
}

// shareLevels are what the usage of accounts is compared with, in tokens.
type shareLevels struct {
	// fairShare is the max-min fair share and highestGranted the usage of the account that was
	// granted most.
	fairShare, highestGranted float64
	holdLevels
}

func newUsageTracker(window time.Duration) *usageTracker {
	if window <= 0 {
		window = defaultShareWindow
	}
	return &usageTracker{window: window, byAccount: make(map[version.AccountID]*accountUsage), reportLag: initialReportLag}
}

// usageOf returns the usage of an account, which it creates if there is none.
func (t *usageTracker) usageOf(account version.AccountID) *accountUsage {
	u := t.byAccount[account]
	if u == nil {
		u = &accountUsage{}
		t.byAccount[account] = u
	}
	return u
}

// advance clears the buckets that have left the window and returns the index of the current
// bucket.
func (t *usageTracker) advance(now time.Time) int64 {
	bucket := now.UnixNano() / int64(t.window/shareBuckets)
	if bucket-t.bucket > shareBuckets {
		t.bucket = bucket - shareBuckets
	}
	for t.bucket < bucket {
		t.bucket++
		for _, u := range t.byAccount {
			u.requested[t.bucket%shareBuckets], u.granted[t.bucket%shareBuckets] = 0, 0
			u.requestedOfVM[t.bucket%shareBuckets], u.refusedBelowShare[t.bucket%shareBuckets] = 0, 0
		}
	}
	return t.bucket % shareBuckets
}

// recordRequest counts a request that this VM received.
func (t *usageTracker) recordRequest(now time.Time, account version.AccountID, tokens float64) {
	t.add(now, account, tokens, 0)
	u := t.byAccount[account]
	u.requestedOfVM[t.bucket%shareBuckets] += tokens
	u.requestedHere += tokens
}

// recordGrant counts a request that this VM granted.
func (t *usageTracker) recordGrant(now time.Time, account version.AccountID, tokens float64) {
	t.add(now, account, 0, tokens)
	u := t.byAccount[account]
	u.recent, u.recentAt = t.recentGrants(now, u)+tokens, now
	u.grantedHere += tokens
}

// recordRefusal counts a request that this VM refused although its account was below its fair share.
func (t *usageTracker) recordRefusal(now time.Time, account version.AccountID, tokens float64) {
	bucket := t.advance(now)
	t.usageOf(account).refusedBelowShare[bucket] += tokens
}

// add counts what an account requested and was granted at any VM, in tokens.
func (t *usageTracker) add(now time.Time, account version.AccountID, requested, granted float64) {
	bucket := t.advance(now)
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	u := t.usageOf(account)
	u.requested[bucket] += requested
	u.granted[bucket] += granted
}

// relativeUsage compares an account's usage in the share window with that of other accounts.
type relativeUsage struct {
	// shareUsed is the usage relative to the fair share: 1 is the usage of an account that has
	// been granted exactly the fair share.
	shareUsed float64
	// ofHighest is the usage relative to the account that was granted most, 0 to 1.
	ofHighest float64
	// held is set for an account that is too far ahead of others that wait.
	held bool
}

// relativeUsage returns the account's usage relative to the fair share and to the highest usage;
// it is zero while there is no usage to compare with.
func (t *usageTracker) relativeUsage(now time.Time, account version.AccountID) relativeUsage {
	t.advance(now)
	if now.Sub(t.computedAt) >= fairShareInterval || now.Before(t.computedAt) {
		t.shareLevels, t.computedAt = t.computeLevels(now), now
	}
	if t.fairShare <= 0 || t.highestGranted <= 0 {
		return relativeUsage{}
	}
	u := t.usageOf(account)
	granted := sum(u.granted)
	if sum(u.requested) > overAskFactor*t.fairShare {
		granted += t.unreported(now, u)
	}
	return relativeUsage{
		shareUsed: granted / t.fairShare, ofHighest: min(granted/t.highestGranted, 1),
		held: granted > t.holdLimit(u),
	}
}

// entitledFraction returns the fraction, 0 to 1, of a request that the fair share of its account covers. The
// request stands for a number of those that the account sent in the share window.
func (t *usageTracker) entitledFraction(now time.Time, account version.AccountID, number int) float64 {
	t.relativeUsage(now, account)
	requested := sum(t.usageOf(account).requested)
	if t.fairShare <= 0 || requested <= t.fairShare {
		return 1
	}
	return min(float64(number)*t.fairShare/requested, 1)
}

// unreported estimates what other VMs granted an account since their last reports. Each of them is taken
// to grant of its part of the requests as much as this VM does. Without it, VMs that all know the
// same old usage give an account with many VMs far more than its share at once.
func (t *usageTracker) unreported(now time.Time, u *accountUsage) float64 {
	own := sum(u.requestedOfVM)
	if own <= 0 {
		return 0
	}
	return t.recentGrants(now, u) * max(sum(u.requested)/own-1, 0)
}

// recentGrants returns what this VM granted an account in about the last report lag: each grant counts
// less the older it is, for the report lag in all.
func (t *usageTracker) recentGrants(now time.Time, u *accountUsage) float64 {
	halfLife := time.Duration(math.Ln2 * float64(t.reportLag))
	return u.recent * decay(max(now.Sub(u.recentAt), 0), halfLife)
}

// recordReportLag records how old the usage was that another VM reported, at the time of its next report.
func (t *usageTracker) recordReportLag(lag time.Duration) {
	t.reportLag += time.Duration(reportLagWeight * float64(min(lag, peerLoadTTL)-t.reportLag))
}

// computeLevels returns the levels of the present usage.
func (t *usageTracker) computeLevels(now time.Time) shareLevels {
	var requests []float64
	total, levels := 0.0, shareLevels{}
	for _, u := range t.byAccount {
		granted := sum(u.granted)
		if requested := sum(u.requested); requested > 0 {
			requests = append(requests, requested)
			total += granted
		}
		levels.highestGranted = max(levels.highestGranted, granted)
	}
	slices.Sort(requests)
	levels.fairShare = maxMinShare(requests, total)
	levels.holdLevels = t.computeHoldLevels(now, requests, levels.fairShare, levels.highestGranted)
	return levels
}

// maxMinShare returns the max-min fair share of a total among accounts with these requests, in
// ascending order: no account gets more than it requests, and accounts that request more than the fair
// share get the fair share, so that together they get the total.
func maxMinShare(requests []float64, total float64) float64 {
	for i, requested := range requests {
		equal := total / float64(len(requests)-i)
		if requested >= equal {
			return equal
		}
		total -= requested
	}
	if len(requests) == 0 {
		return 0
	}
	// No account requests more than its share.
	return requests[len(requests)-1]
}

// AccountShare is the usage of an account in the share window, as this VM knows it.
type AccountShare struct {
	Account version.AccountID
	// Requested and Granted are tokens over all VMs.
	Requested, Granted float64
	// ShareUsed is Granted relative to the fair share; 0 if there is none.
	ShareUsed float64
	// RefusedBelowShare is the tokens that this VM refused while the account was below its fair share.
	RefusedBelowShare float64
}

// Shares returns the fair share in tokens and, of the accounts in the share window, those that requested most
// and those that this VM refused most below their share, at most limit of each; those that requested most
// come first.
func (p *Placer) Shares(now time.Time, limit int) (fairShare float64, accounts []AccountShare) {
	t := p.usage
	for id, usage := range t.byAccount {
		relative := t.relativeUsage(now, id)
		if requested := sum(usage.requested); requested > 0 {
			accounts = append(accounts, AccountShare{id, requested, sum(usage.granted), relative.shareUsed, sum(usage.refusedBelowShare)})
		}
	}
	byRequested := func(a, b AccountShare) int {
		return cmp.Or(cmp.Compare(b.Requested, a.Requested), cmp.Compare(a.Account, b.Account))
	}
	slices.SortFunc(accounts, byRequested)
	if len(accounts) > limit {
		rest := slices.DeleteFunc(accounts[limit:], func(a AccountShare) bool { return a.RefusedBelowShare == 0 })
		slices.SortFunc(rest, func(a, b AccountShare) int {
			return cmp.Or(cmp.Compare(b.RefusedBelowShare, a.RefusedBelowShare), byRequested(a, b))
		})
		accounts = accounts[:limit+min(len(rest), limit)]
	}
	return t.fairShare, accounts
}
