package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// shareBuckets is the number of buckets into which the share window is divided, and latelyBuckets how many
	// of them are kept: those in which an account may have waited, and the current one.
	shareBuckets  = 8
	latelyBuckets = waitBuckets + 1
	// meanLifeFraction is the mean life of usage as a fraction of the share window.
	meanLifeFraction = 0.35
	// overAskFactor is how many times the fair share an account must request for the grants of other
	// VMs to be estimated by this VM's: one that requests little can't overshoot its share by much.
	overAskFactor = 2
	// priorFraction is the usage, relative to the fair share, up to which requests say more of what other VMs grant an
	// account than its grants.
	priorFraction = 0.025
	// minUsage is the least amount, in tokens, that counts: amounts fade and never end.
	minUsage = 1
	// defaultShareWindow is used if the platform sets no window.
	defaultShareWindow = 4 * time.Second
	// fairShareInterval is how often the fair share is recomputed.
	fairShareInterval = 50 * time.Millisecond
	// initialReportLag is the assumed report lag before reports are received, and reportLagWeight the
	// weight of the newest report in it.
	initialReportLag = 300 * time.Millisecond
	reportLagWeight  = 0.1
)

// accountUsage is what one account requested and was granted, in tokens, over all VMs. The amounts fade with
// their age, as decayed says.
type accountUsage struct {
	requested, granted float64
	// requestedOfVM and grantedOfVM are the parts of this VM.
	requestedOfVM, grantedOfVM float64
	// refusedBelowShare is what this VM refused while the account was below its fair share.
	refusedBelowShare float64
	updatedAt         time.Time
	// lately are the amounts of the last buckets, by their number.
	lately [latelyBuckets]bucketUsage
	// recent is what this VM granted in about the last report lag, as of recentAt.
	recent   float64
	recentAt time.Time
	// requestedHere and grantedHere are this VM's totals since its start, in tokens.
	requestedHere, grantedHere float64
}

// bucketUsage is what an account requested and was granted in a bucket.
type bucketUsage struct {
	number             int64
	requested, granted float64
}

// usageTracker counts the tokens that client accounts request and are granted.
type usageTracker struct {
	// window is the period over which usage is compared.
	window    time.Duration
	byAccount map[version.AccountID]*accountUsage
	// reportLag is how old the usage is that other VMs have reported, just before their next report.
	reportLag time.Duration
	// startedAt is when the first usage was counted.
	startedAt time.Time
	// tokensPerSecond is the token rate of the fleet; 0 if it is not known.
	tokensPerSecond float64
	// shareLevels are as of computedAt.
	shareLevels
	computedAt time.Time
	// sorted is the usage of all accounts as of computedAt, those that requested least first.
	sorted []accountUsage
}

// shareLevels are what the usage of accounts is compared with, in tokens.
type shareLevels struct {
	// fairShare is the max-min fair share and highestGranted the usage of the account that was
	// granted most.
	fairShare, highestGranted float64
	// assumedFairShare is the fair share that estimates are based on, also that of fairShare itself.
	assumedFairShare float64
	holdLevels
}

func newUsageTracker(window time.Duration) *usageTracker {
	if window <= 0 {
		window = defaultShareWindow
	}
	return &usageTracker{window: window, byAccount: make(map[version.AccountID]*accountUsage), reportLag: min(initialReportLag, window/4)}
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

// meanLife is the time after which an amount counts 1/e.
func (t *usageTracker) meanLife() time.Duration {
	return time.Duration(meanLifeFraction * float64(t.window))
}

// decayed returns the fraction of an account's amounts that counts now. Amounts fade continuously: if they left
// a window at its end, what was granted in a burst would be granted in a burst again, by all VMs at the
// same moment.
func (t *usageTracker) decayed(now time.Time, u *accountUsage) float64 {
	return math.Exp(-float64(max(now.Sub(u.updatedAt), 0)) / float64(t.meanLife()))
}

// at returns an account's usage as of now.
func (t *usageTracker) at(now time.Time, u *accountUsage) accountUsage {
	current := *u
	if fraction := t.decayed(now, u); fraction < 1 {
		current.requested *= fraction
		current.granted *= fraction
		current.requestedOfVM *= fraction
		current.grantedOfVM *= fraction
		current.refusedBelowShare *= fraction
		current.updatedAt = now
	}
	return current
}

// bucketOf returns the number of the bucket of a time, counted from the Unix epoch.
func (t *usageTracker) bucketOf(now time.Time) int64 {
	return now.UnixNano() / int64(t.window/shareBuckets)
}

// bucket returns an account's bucket of a number, empty if nothing was counted in it.
func (u *accountUsage) bucket(number int64) *bucketUsage {
	b := &u.lately[number%latelyBuckets]
	if b.number != number {
		*b = bucketUsage{number: number}
	}
	return b
}

// recordRequest counts a request that this VM received.
func (t *usageTracker) recordRequest(now time.Time, account version.AccountID, tokens float64) {
	u := t.add(now, account, tokens, 0)
	u.requestedOfVM += tokens
	u.requestedHere += tokens
}

// recordGrant counts a request that this VM granted.
func (t *usageTracker) recordGrant(now time.Time, account version.AccountID, tokens float64) {
	u := t.add(now, account, 0, tokens)
	u.recent, u.recentAt = t.recentGrants(now, u)+tokens, now
	u.grantedOfVM += tokens
	u.grantedHere += tokens
}

// recordRefusal counts a request that this VM refused although its account was below its fair share.
func (t *usageTracker) recordRefusal(now time.Time, account version.AccountID, tokens float64) {
	t.add(now, account, 0, 0).refusedBelowShare += tokens
}

// add counts what an account requested and was granted at any VM, in tokens.
func (t *usageTracker) add(now time.Time, account version.AccountID, requested, granted float64) *accountUsage {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	u := t.usageOf(account)
	*u = t.at(now, u)
	u.requested += requested
	u.granted += granted
	b := u.bucket(t.bucketOf(now))
	b.requested += requested
	b.granted += granted
	return u
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
	if now.Sub(t.computedAt) >= fairShareInterval || now.Before(t.computedAt) {
		if t.assumedFairShare = t.fairShare; t.fairShare <= 0 {
			t.assumedFairShare = t.computeLevels(now).fairShare
		}
		t.shareLevels, t.computedAt = t.computeLevels(now), now
	}
	if t.fairShare <= 0 || t.highestGranted <= 0 {
		return relativeUsage{}
	}
	u := t.estimate(now, t.usageOf(account))
	granted := u.granted
	return relativeUsage{
		shareUsed: granted / t.fairShare, ofHighest: min(granted/t.highestGranted, 1),
		held: granted > t.holdLimit(),
	}
}

// Ahead reports whether an account is so far ahead of its share that it is served only where no request waits.
func (p *Placer) Ahead(now time.Time, account version.AccountID) bool {
	usage := p.usage.relativeUsage(now, account)
	return usage.held || usage.shareUsed >= maxOverShare
}

// entitledFraction returns the fraction, 0 to 1, of a request that the fair share of its account covers. The
// request stands for a number of those that the account sent in the share window.
func (t *usageTracker) entitledFraction(now time.Time, account version.AccountID, number int) float64 {
	t.relativeUsage(now, account)
	requested := t.at(now, t.usageOf(account)).requested
	if t.fairShare <= 0 || requested <= t.fairShare {
		return 1
	}
	return min(float64(number)*t.fairShare/requested, 1)
}

// estimate returns an account's usage as of now, with what other VMs have received and granted since their last
// reports.
func (t *usageTracker) estimate(now time.Time, u *accountUsage) accountUsage {
	current := t.at(now, u)
	lag := t.lagFraction()
	unreported := t.unreportedGrants(now, &current)
	current.requested += max(current.requested-current.requestedOfVM, 0) * lag / (1 - lag)
	current.granted = min(current.granted+unreported, max(current.requested, current.granted))
	return current
}

// unreportedGrants estimates what other VMs granted an account since their last reports: for what this VM grants
// now they grant as much, relative to what they reported, as they did before. An account that was granted
// little is taken to be granted by requests. These include what VMs turn away, and so say little of an
// account that was granted more.
func (t *usageTracker) unreportedGrants(now time.Time, u *accountUsage) float64 {
	lag := t.lagFraction()
	elsewhere, recent := max(u.granted-u.grantedOfVM, 0), t.recentGrants(now, u)
	steady, prior := elsewhere*lag/(1-lag), priorFraction*t.assumedFairShare
	if u.requestedOfVM <= 0 || prior <= 0 || u.requested <= overAskFactor*t.assumedFairShare {
		return steady
	}
	byRequests := max(u.requested/u.requestedOfVM-1, 0)
	before := max(u.grantedOfVM-recent, 0)
	return (recent*(elsewhere+prior*byRequests) + prior*steady) / (before + prior)
}

// lagFraction returns the part of the usage of other VMs that their reports miss.
func (t *usageTracker) lagFraction() float64 { return float64(t.reportLag) / float64(t.meanLife()) }

// recentGrants returns what this VM granted an account in about the last report lag: each grant counts
// less the older it is, for the report lag in all.
func (t *usageTracker) recentGrants(now time.Time, u *accountUsage) float64 {
	halfLife := time.Duration(math.Ln2 * float64(t.reportLag))
	return u.recent * decay(max(now.Sub(u.recentAt), 0), halfLife)
}

// recordReportLag records how old the usage was that another VM reported, at the time of its next report.
func (t *usageTracker) recordReportLag(lag time.Duration) {
	t.reportLag += time.Duration(reportLagWeight * float64(min(lag, peerLoadTTL, t.meanLife()/2)-t.reportLag))
}

// computeLevels returns the levels of the present usage.
func (t *usageTracker) computeLevels(now time.Time) shareLevels {
	t.sorted = t.sorted[:0]
	for _, u := range t.byAccount {
		if current := t.estimate(now, u); current.requested >= minUsage {
			t.sorted = append(t.sorted, current)
		}
	}
	// A fixed order gives equal sums for equal usage.
	slices.SortFunc(t.sorted, func(a, b accountUsage) int {
		return cmp.Or(cmp.Compare(a.requested, b.requested), cmp.Compare(a.granted, b.granted))
	})
	requests, total, levels := make([]float64, 0, len(t.sorted)), 0.0, shareLevels{assumedFairShare: t.assumedFairShare}
	for _, u := range t.sorted {
		requests = append(requests, u.requested)
		total += u.granted
		levels.highestGranted = max(levels.highestGranted, u.granted)
	}
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
		if u := t.at(now, usage); u.requested >= minUsage {
			accounts = append(accounts, AccountShare{id, u.requested, u.granted, t.relativeUsage(now, id).shareUsed, u.refusedBelowShare})
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
