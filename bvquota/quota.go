// Package bvquota enforces the usage caps of workspaces, over all hosts together.
//
// A cap is a token bucket: a rate, and a burst that may arrive at once. Each host keeps a
// copy of every bucket and takes from its copy the requests that it runs itself and those
// that the other hosts report. While a bucket holds more than the requests that may not
// have been reported yet, a host grants requests without asking. Below that level it asks
// the workspace's allocator, a host that all select by rendezvous hashing; a claim contains
// the asking host's own count, so that the allocator's copy is exact for all hosts that ask.
//
// # Usage
//
//	limiter := bvquota.New(clock, bvquota.Bounds{Window: window, OverRatio: 0.1, Slack: 20})
//	limiter.SetCaps(caps)
//	decision := limiter.Take(bvquota.Request{Workspace: "piran"})
//	switch decision.Outcome {
//	case bvquota.Ask:
//		// ask the allocator; its limiter answers with DecideClaim
//		limiter.RecordGrant("piran")
//	case bvquota.Refused:
//		// retry after decision.Wait
//	}
//	usages := limiter.RecentUsage() // send it to the other hosts
//	limiter.RecordUsage(host, usages)
//
// # Invariants
//
// No copy holds more than the burst and a part of the bounds' slack. The copies of a host
// that has just started hold only another part of the slack, so that a restart of all hosts
// does not grant a second burst. Hosts that can't reach some of the others leave them their
// share of the cap. A lost message makes a copy wrong only until the next one, since counts
// are totals since a host's start.
package bvquota

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

const (
	// minReportTime is the minimum time for which a host repeats the count of a workspace
	// after its last request, and reportLags is the same as a multiple of the report lag:
	// the other hosts must get the count once even if one message is lost.
	minReportTime = bvclock.Second
	reportLags    = 2
	// rateWindow is the time over which a workspace's rate is averaged.
	rateWindow = bvclock.Second
	// reportRetention is how long the count of another host is retained after it was last
	// reported.
	reportRetention = bvclock.Minute
	// initialShare is the part of the bounds' slack that a bucket holds at the start of a
	// host; marginShare, the part by which a bucket is larger than the burst, for requests
	// that arrive unevenly. The rest covers requests that are reported late.
	initialShare = 0.25
	marginShare  = 0.25
	// reservedShare is the part of a bucket that is reserved for started programs: the
	// earlier requests of a program that is refused midway are wasted.
	reservedShare = 0.5
	// overflowWindow bounds the recorded overflow of a full bucket to its gain in this
	// time.
	overflowWindow = 10 * bvclock.Second
	// maxRetryAfter is the longest time, without the random delay, after which a refused
	// caller should retry.
	maxRetryAfter = 5 * bvclock.Second
	// maxHold is the longest time for which a granted request may have to wait for the
	// bucket: less than a caller would need to retry.
	maxHold = 250 * bvclock.Millisecond
	// retrySpread is the time over which retries of refused callers are spread, so that
	// those of a workspace don't arrive at once.
	retrySpread = 400 * bvclock.Millisecond
	// majorityShare is the share of the hosts below which a group of hosts that reach each
	// other limits its own grants to its share of the cap: another group may grant the rest.
	majorityShare = 0.5
	// unreachableShare is the share of a cap that a majority need not leave to the
	// unreachable hosts, although these may still be granting requests.
	unreachableShare = 0.05
)

// Cap is the usage cap of a workspace.
type Cap struct {
	Workspace string
	Rate      float64 // requests a second
	Burst     float64 // requests beyond the rate that may arrive at once
}

// Bounds define how exactly caps must be enforced.
type Bounds struct {
	StartFull bool             // buckets are full at the start, since no host has run a request yet
	Window    bvclock.Duration // any period of this length is compared with the cap
	OverRatio float64          // requests that may run beyond the cap, as a share of it
	Slack     float64          // requests that may run beyond that
}

// Outcome is the result of a decision on a request.
type Outcome int

// The outcomes. Ask means that the decision is left to the allocator; as an allocator's
// answer, that the request is undecided.
const (
	Granted Outcome = iota // granted
	Refused                // refused
	Ask                    // ask
)

// Decision is the answer to a request.
type Decision struct {
	Outcome Outcome
	// Wait is the time after which a granted request may run, or a refused one should be
	// retried.
	Wait bvclock.Duration
	// Basis is what a refusal is based on.
	Basis Basis
}

// Basis is the state of a bucket in which a request was refused.
type Basis struct {
	Level      float64 // requests that the bucket would grant
	Required   float64 // that it must hold for the request
	GroupShare float64 // of the cap that the reachable hosts may grant
}

// Usage is a host's report on its requests of one workspace.
type Usage struct {
	Workspace uint32 // hash of its name
	Count     uint32 // requests since the host's start; it wraps
	Recent    uint32 // of those, the last ones, which other hosts may not have counted yet
}

// HashWorkspace returns the hash that identifies a workspace between hosts.
func HashWorkspace(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Limiter holds the buckets of one host. Make one with New; it is safe for concurrent
// use.
type Limiter struct {
	clock  bvclock.Clock
	bounds Bounds

	mutex          sync.Mutex
	accounts       map[string]*account
	byHash         map[uint32]*account
	reachableHosts int                     // this one included; 0: unknown yet
	groupShare     float64                 // of the caps that the reachable hosts may grant
	reportLag      bvclock.Duration        // within which the other hosts' requests are reported
	lastSeen       map[uint64]bvclock.Time // by other host
	cleanedAt      bvclock.Time
}

// New returns a Limiter without caps. Until SetHosts is called, Take grants no request of a
// workspace with a cap.
func New(clock bvclock.Clock, bounds Bounds) *Limiter {
	return &Limiter{
		clock: clock, bounds: bounds, reportLag: bounds.Window,
		accounts: make(map[string]*account), byHash: make(map[uint32]*account),
		lastSeen: make(map[uint64]bvclock.Time),
	}
}

// SetCaps sets the caps of the desired state. It does not refill the buckets of workspaces
// that had a cap before.
func (limiter *Limiter) SetCaps(caps []Cap) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	accounts := make(map[string]*account, len(caps))
	byHash := make(map[uint32]*account, len(caps))
	for _, limit := range caps {
		found := limiter.accounts[limit.Workspace]
		if found == nil {
			found = newAccount(now, limit, limiter.initialLevel(limit), limiter.bucketSize(limit))
		}
		found.fill(now, limiter.groupShare)
		found.cap, found.size = limit, limiter.bucketSize(limit)
		found.fill(now, limiter.groupShare)
		accounts[limit.Workspace] = found
		byHash[HashWorkspace(limit.Workspace)] = found
	}
	limiter.accounts, limiter.byHash = accounts, byHash
}

// bucketSize returns the capacity of a bucket: at least one request, since a smaller bucket
// would never grant any.
func (limiter *Limiter) bucketSize(limit Cap) float64 {
	return max(limit.Burst+marginShare*limiter.slack(limit), 1)
}

// initialLevel returns the level of a bucket when this host starts.
func (limiter *Limiter) initialLevel(limit Cap) float64 {
	if limiter.bounds.StartFull {
		return limiter.bucketSize(limit)
	}
	return initialShare * limiter.slack(limit)
}

// slack returns how many requests may run beyond a cap in a window.
func (limiter *Limiter) slack(limit Cap) float64 {
	allowed := limit.Rate*seconds(limiter.bounds.Window) + limit.Burst
	return limiter.bounds.Slack + limiter.bounds.OverRatio*allowed
}

// SetHosts sets how many hosts are listed and reachable, this one included, and the lag
// within which their requests are reported here.
func (limiter *Limiter) SetHosts(listed, reachable int, lag bvclock.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.reachableHosts, limiter.reportLag = max(reachable, 1), lag
	limiter.groupShare = float64(reachable) / float64(max(listed, 1))
	if limiter.groupShare >= majorityShare {
		limiter.groupShare = min(limiter.groupShare+unreachableShare, 1)
	}
}

// Request describes a request to a limiter.
type Request struct {
	Workspace string
	// NewProgram marks the first request of a program. It is refused while the level of
	// the bucket is low, since many more requests follow it.
	NewProgram bool
	// FromStandby marks a request that the allocator of its workspace did not answer, so
	// that a standby decides. The allocator's recent grants may not have been reported
	// yet, so the standby leaves a reserve for them.
	FromStandby bool
}

// Take decides on a request. All requests of a workspace without a cap are granted.
func (limiter *Limiter) Take(request Request) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.filledAccount(now, request.Workspace)
	if account == nil {
		return Decision{}
	}
	required := account.requiredLevel(request.NewProgram, limiter.groupShare)
	switch {
	case limiter.reachableHosts == 0 || limiter.isStarting(now, account):
		return Decision{Outcome: Ask}
	case account.available() < required:
		return limiter.decideShortfall(account, required)
	case limiter.mustAsk(now, account):
		return Decision{Outcome: Ask}
	}
	account.recordOwn(now, limiter.reportWindow())
	return Decision{}
}

// isStarting reports whether this host has had the cap for less than a window, so that not
// all requests of the other hosts may have been reported yet.
func (limiter *Limiter) isStarting(now bvclock.Time, account *account) bool {
	return !limiter.bounds.StartFull && now.Sub(account.createdAt) < limiter.bounds.Window
}

// mustAsk reports whether the bucket may in fact hold less than this host's copy: requests
// of other hosts are reported late, and all hosts may use up the bucket at the same time.
func (limiter *Limiter) mustAsk(now bvclock.Time, account *account) bool {
	unreported := max(account.currentRate(now), account.cap.Rate) * seconds(limiter.reportLag)
	if account.available() < 1+unreported {
		return true
	}
	own := account.countOwnSince(now.Add(-limiter.reportLag))
	return float64(own) >= max(1, account.size/float64(limiter.reachableHosts))
}

// RecordGrant records that the allocator granted a request of this host.
func (limiter *Limiter) RecordGrant(workspace string) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account := limiter.filledAccount(now, workspace); account != nil {
		account.recordOwn(now, limiter.reportWindow())
	}
}

// decideShortfall decides on a request for which the level is too low. The request is not
// refused if the initial level, which is not added yet, would suffice.
func (limiter *Limiter) decideShortfall(account *account, required float64) Decision {
	if account.available()+account.initialLevel >= required {
		return Decision{Outcome: Ask}
	}
	return Decision{
		Outcome: Refused, Wait: account.retryAfter(required, limiter.groupShare),
		Basis: Basis{Level: account.available(), Required: required, GroupShare: limiter.groupShare},
	}
}

// filledAccount returns the account of a workspace, filled up to now, or nil if it has no
// cap.
func (limiter *Limiter) filledAccount(now bvclock.Time, workspace string) *account {
	account := limiter.accounts[workspace]
	if account != nil {
		account.fill(now, limiter.groupShare)
	}
	return account
}

// OwnUsage returns this host's usage of a workspace, which is sent with a claim.
func (limiter *Limiter) OwnUsage(workspace string) Usage {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.accounts[workspace]
	if account == nil {
		return Usage{Workspace: HashWorkspace(workspace)}
	}
	return account.usage(now, limiter.reportWindow())
}

// reportWindow returns how long the count of a workspace is repeated after its last request.
func (limiter *Limiter) reportWindow() bvclock.Duration {
	return max(minReportTime, min(reportLags*limiter.reportLag, 2*limiter.bounds.Window))
}

// DecideClaim decides, as the allocator, on a request of another host, which sends its own
// usage with it.
func (limiter *Limiter) DecideClaim(host uint64, usage Usage, request Request) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.byHash[usage.Workspace]
	if account == nil {
		return Decision{Outcome: Ask} // the cap is in a version of the desired state that this host lacks
	}
	account.fill(now, limiter.groupShare)
	account.recordUsage(now, limiter.groupShare, host, usage, 0)
	decision := limiter.decideAsAllocator(account, request)
	if decision.Outcome == Granted {
		account.recordGrant(now, host)
	}
	return decision
}

// decideAsAllocator decides on a request as its allocator; Ask leaves it undecided. A
// standby leaves a request undecided if the allocator's last grants, which may not have been
// reported yet, could have used up the bucket.
func (limiter *Limiter) decideAsAllocator(account *account, request Request) Decision {
	required := account.requiredLevel(request.NewProgram, limiter.groupShare)
	if account.available() < required {
		return limiter.decideShortfall(account, required)
	}
	if request.FromStandby && account.available() < required+account.cap.Rate*seconds(limiter.reportLag) {
		return Decision{Outcome: Ask}
	}
	return Decision{Wait: account.holdDuration(limiter.groupShare)}
}

// TakeAsAllocator decides on a request of this host where it is the allocator itself.
func (limiter *Limiter) TakeAsAllocator(request Request) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.filledAccount(now, request.Workspace)
	if account == nil {
		return Decision{}
	}
	decision := limiter.decideAsAllocator(account, request)
	if decision.Outcome == Granted {
		account.recordOwn(now, limiter.reportWindow())
	}
	return decision
}

// RecentUsage returns this host's recent usage, to be reported to the other hosts.
func (limiter *Limiter) RecentUsage() []Usage {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.dropOldReports(now)
	window := limiter.reportWindow()
	var usages []Usage
	for _, account := range limiter.accounts {
		if usage := account.usage(now, window); usage.Recent > 0 {
			usages = append(usages, usage)
		}
	}
	return usages
}

// RecordUsage records another host's report. It must be called for each digest, also for
// one without usage.
func (limiter *Limiter) RecordUsage(host uint64, usages []Usage) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	silentFor := limiter.silentFor(now, host)
	limiter.lastSeen[host] = now
	for _, usage := range usages {
		if account := limiter.byHash[usage.Workspace]; account != nil {
			account.recordUsage(now, limiter.groupShare, host, usage, silentFor)
		}
	}
}

// silentFor returns for how long nothing has arrived from a host, beyond the usual interval
// of two lags.
func (limiter *Limiter) silentFor(now bvclock.Time, host uint64) bvclock.Duration {
	lastSeen, known := limiter.lastSeen[host]
	if !known {
		return 0
	}
	return max(now.Sub(lastSeen)-2*limiter.reportLag, 0)
}

// dropOldReports drops counts that were not reported within reportRetention.
func (limiter *Limiter) dropOldReports(now bvclock.Time) {
	if now.Sub(limiter.cleanedAt) < reportRetention {
		return
	}
	limiter.cleanedAt = now
	maps.DeleteFunc(limiter.lastSeen, func(_ uint64, at bvclock.Time) bool { return now.Sub(at) > reportRetention })
	for _, account := range limiter.accounts {
		account.dropReports(now.Add(-reportRetention))
	}
}

func seconds(duration bvclock.Duration) float64 {
	return float64(duration) / float64(bvclock.Second)
}

// randomRetryDelay returns a random time below retrySpread.
func randomRetryDelay() bvclock.Duration { return bvclock.Duration(rand.Int64N(int64(retrySpread))) }

// decay returns the factor by which an average over rateWindow decays in a time.
func decay(elapsed bvclock.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(rateWindow))
}
