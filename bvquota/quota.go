// Package bvquota holds workspaces to their usage caps, over all hosts together.
//
// A cap is a token bucket: a rate, and a burst that may come at once. Each host keeps
// a copy of every bucket and takes from its copy what it runs itself and what the
// other hosts tell that they ran. While a bucket holds more than what may be unheard
// of, a host takes from it without asking. Below that it asks the workspace's
// allocator, a host on which all agree by rendezvous hashing; a claim carries the
// asker's own count, so that the allocator's copy is exact for all who ask.
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
//		// come back after decision.Wait
//	}
//	usages := limiter.RecentUsage() // send it to the other hosts
//	limiter.RecordUsage(host, usages)
//
// # Invariants
//
// No copy holds more than the burst and a part of the bounds' slack. A host that has just
// started begins with another part of it, so that a loss of all hosts grants nothing
// twice. Hosts that do not hear some of the others leave them their share of the cap. A
// lost message makes a copy wrong until the next one, since counts are totals since a
// host's start.
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
	// leastTold is for how long at least hosts repeat the count of a workspace after its
	// last request, and toldLags the same in times within which they hear of each other:
	// the others must hear of it once, though one message is lost.
	leastTold = bvclock.Second
	toldLags  = 2
	// rateWindow is the time over which a workspace's rate is averaged.
	rateWindow = bvclock.Second
	// forgetAfter is how long the count of another host is remembered after it was
	// last told.
	forgetAfter = bvclock.Minute
	// startShare is the part of the bounds' slack that a bucket holds at the start
	// of a host; marginShare, the part by which a bucket is larger than the burst, for
	// requests that come unevenly. The rest is for what hosts hear of late.
	startShare  = 0.25
	marginShare = 0.25
	// newShare is the part of a bucket that is kept for programs under way: a program
	// that is refused midway has spent its requests in vain.
	newShare = 0.5
	// spillWindow bounds what is remembered of what a full bucket would have gained.
	spillWindow = 10 * bvclock.Second
	// mostWait is the longest time after which a refused caller is told to come back.
	mostWait = 5 * bvclock.Second
	// holdTime is the longest time for which a granted request may have to wait for the
	// bucket: less than a caller would need to come back.
	holdTime = 250 * bvclock.Millisecond
	// returnSpread is the time over which the return of refused callers is spread,
	// so that those of a workspace don't come back as one.
	returnSpread = 400 * bvclock.Millisecond
	// minority is the share of the hosts below which a group of hosts that hear each
	// other counts what it grants by itself: another group may take the rest.
	minority = 0.5
	// unreachableShare is the share of a cap for hosts that are not heard, and may still be
	// granting, that the others need not leave to them.
	unreachableShare = 0.05
)

// Cap is the usage cap of a workspace.
type Cap struct {
	Workspace string
	Rate      float64 // requests a second
	Burst     float64 // requests beyond the rate that may come at once
}

// Bounds say how exactly caps must be kept.
type Bounds struct {
	StartFull bool             // no host has run anything yet: buckets are full at the start
	Window    bvclock.Duration // over any such time, requests are compared with the cap
	OverRatio float64          // share of the cap that may be run beyond it
	Slack     float64          // requests that may be run beyond that
}

// Outcome is what is decided on a request.
type Outcome int

// The outcomes.
const (
	Granted Outcome = iota // granted
	Refused                // refused
	Ask                    // ask
)

// Decision is the answer to a request.
type Decision struct {
	Outcome Outcome
	// Wait is the time after which a granted request may run, and a refused one may find
	// the bucket filled.
	Wait bvclock.Duration
}

// Usage is what a host tells of its requests of one workspace.
type Usage struct {
	Workspace uint32 // hash of its name
	Count     uint32 // requests since the host's start; it wraps
	Recent    uint32 // of those, the last ones, which others may not have heard of
}

// HashWorkspace returns what a workspace is called between hosts.
func HashWorkspace(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Limiter holds the buckets of one host. Make one with New; it is safe for concurrent
// use.
type Limiter struct {
	clock  bvclock.Clock
	bounds Bounds

	mutex    sync.Mutex
	accounts map[string]*account
	byHash   map[uint32]*account
	hosts    int                     // heard, this one included; 0: not known yet
	share    float64                 // of the caps that this group of hosts may take
	lag      bvclock.Duration        // within which the other hosts' requests are heard of
	lastSeen map[uint64]bvclock.Time // other hosts
	tidiedAt bvclock.Time
}

// New returns a Limiter without caps. Until SetHosts is called, it can grant nothing by
// itself.
func New(clock bvclock.Clock, bounds Bounds) *Limiter {
	return &Limiter{
		clock: clock, bounds: bounds, lag: bounds.Window,
		accounts: make(map[string]*account), byHash: make(map[uint32]*account),
		lastSeen: make(map[uint64]bvclock.Time),
	}
}

// SetCaps takes over the caps of the desired state. What was taken from a bucket
// stays taken.
func (limiter *Limiter) SetCaps(caps []Cap) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	accounts := make(map[string]*account, len(caps))
	byHash := make(map[uint32]*account, len(caps))
	for _, limit := range caps {
		found := limiter.accounts[limit.Workspace]
		if found == nil {
			found = newAccount(now, limit, limiter.start(limit), limiter.size(limit))
		}
		found.fill(now, limiter.share)
		found.cap, found.size = limit, limiter.size(limit)
		found.fill(now, limiter.share)
		accounts[limit.Workspace] = found
		byHash[HashWorkspace(limit.Workspace)] = found
	}
	limiter.accounts, limiter.byHash = accounts, byHash
}

// size is how much a bucket holds. One that holds less than a request would never grant
// any.
func (limiter *Limiter) size(limit Cap) float64 {
	return max(limit.Burst+marginShare*limiter.slack(limit), 1)
}

// start is what a bucket holds when this host starts.
func (limiter *Limiter) start(limit Cap) float64 {
	if limiter.bounds.StartFull {
		return limiter.size(limit)
	}
	return startShare * limiter.slack(limit)
}

// slack is how many requests may be run beyond a cap in a window.
func (limiter *Limiter) slack(limit Cap) float64 {
	whole := limit.Rate*seconds(limiter.bounds.Window) + limit.Burst
	return limiter.bounds.Slack + limiter.bounds.OverRatio*whole
}

// SetHosts takes over how many hosts are listed and heard, this one included, and
// within which time what they run is heard of here.
func (limiter *Limiter) SetHosts(listed, heard int, lag bvclock.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.hosts, limiter.lag = max(heard, 1), lag
	limiter.share = float64(heard) / float64(max(listed, 1))
	if limiter.share >= minority {
		limiter.share = min(limiter.share+unreachableShare, 1)
	}
}

// Request is what a limiter decides on.
type Request struct {
	Workspace string
	// Fresh marks the first request of a program. It is refused while the bucket holds
	// little, since many more requests follow it.
	NewProgram bool
	// Standby marks a request that the allocator of its workspace did not answer. What
	// that one granted lately may not have been heard of, and is left over.
	FromStandby bool
}

// Take decides on a request. A workspace without a cap is granted all.
func (limiter *Limiter) Take(request Request) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.filled(now, request.Workspace)
	if account == nil {
		return Decision{}
	}
	needed := account.needed(request.NewProgram, limiter.share)
	switch {
	case limiter.hosts == 0 || limiter.justStarted(now, account):
		return Decision{Outcome: Ask}
	case account.available() < needed:
		return limiter.lacking(account, needed)
	case limiter.mustAsk(now, account):
		return Decision{Outcome: Ask}
	}
	account.take(now, limiter.toldWindow())
	return Decision{}
}

// justStarted reports whether what the others have run is not known here yet.
func (limiter *Limiter) justStarted(now bvclock.Time, account *account) bool {
	return !limiter.bounds.StartFull && now.Sub(account.since) < limiter.bounds.Window
}

// mustAsk reports whether a bucket may hold less than this host knows: requests of
// other hosts are heard of late, and all of them may take what is left at once.
func (limiter *Limiter) mustAsk(now bvclock.Time, account *account) bool {
	unheard := max(account.rate(now), account.cap.Rate) * seconds(limiter.lag)
	if account.available() < 1+unheard {
		return true
	}
	own := account.ownSince(now.Add(-limiter.lag))
	return float64(own) >= max(1, account.size/float64(limiter.hosts))
}

// RecordGrant notes that the allocator granted a request of this host.
func (limiter *Limiter) RecordGrant(workspace string) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account := limiter.filled(now, workspace); account != nil {
		account.take(now, limiter.toldWindow())
	}
}

// lacking decides on a request for which the bucket holds too little: that is no refusal
// where it is only not known yet whether what it holds at the start is still there.
func (limiter *Limiter) lacking(account *account, needed float64) Decision {
	if account.available()+account.start >= needed {
		return Decision{Outcome: Ask}
	}
	return Decision{Outcome: Refused, Wait: account.wait(needed, limiter.share)}
}

// filled returns the account of a workspace as it is now, or nil where it has no cap.
func (limiter *Limiter) filled(now bvclock.Time, workspace string) *account {
	account := limiter.accounts[workspace]
	if account != nil {
		account.fill(now, limiter.share)
	}
	return account
}

// OwnUsage returns what this host has run of a workspace, to go with a claim.
func (limiter *Limiter) OwnUsage(workspace string) Usage {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.accounts[workspace]
	if account == nil {
		return Usage{Workspace: HashWorkspace(workspace)}
	}
	return account.use(now, limiter.toldWindow())
}

// toldWindow is for how long the count of a workspace is repeated after its last request.
func (limiter *Limiter) toldWindow() bvclock.Duration {
	return max(leastTold, min(toldLags*limiter.lag, 2*limiter.bounds.Window))
}

// DecideClaim decides, as the allocator, on a request of another host, which tells what it
// has run so far.
func (limiter *Limiter) DecideClaim(host uint64, use Usage, request Request) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.byHash[use.Workspace]
	if account == nil {
		return Decision{Outcome: Ask} // a version of the desired state that this host lacks
	}
	account.fill(now, limiter.share)
	account.hear(now, limiter.share, host, use, 0)
	decision := limiter.decide(account, request)
	if decision.Outcome == Granted {
		account.grant(now, host)
	}
	return decision
}

// decide decides as an allocator; Ask leaves the request undecided. So does a standby that
// may not have heard of the last grants.
func (limiter *Limiter) decide(account *account, request Request) Decision {
	needed := account.needed(request.NewProgram, limiter.share)
	if account.available() < needed {
		return limiter.lacking(account, needed)
	}
	if request.FromStandby && account.available() < needed+account.cap.Rate*seconds(limiter.lag) {
		return Decision{Outcome: Ask}
	}
	return Decision{Wait: account.hold(limiter.share)}
}

// TakeAsAllocator decides on a request of this host where it is the allocator itself.
func (limiter *Limiter) TakeAsAllocator(request Request) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.filled(now, request.Workspace)
	if account == nil {
		return Decision{}
	}
	decision := limiter.decide(account, request)
	if decision.Outcome == Granted {
		account.take(now, limiter.toldWindow())
	}
	return decision
}

// RecentUsage returns what this host has run lately, to be told to the others.
func (limiter *Limiter) RecentUsage() []Usage {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.tidy(now)
	window := limiter.toldWindow()
	var uses []Usage
	for _, account := range limiter.accounts {
		if use := account.use(now, window); use.Recent > 0 {
			uses = append(uses, use)
		}
	}
	return uses
}

// RecordUsage takes in what another host told; it is to be called for each digest, also for one
// that tells of no request.
func (limiter *Limiter) RecordUsage(host uint64, uses []Usage) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	late := limiter.lateness(now, host)
	limiter.lastSeen[host] = now
	for _, use := range uses {
		if account := limiter.byHash[use.Workspace]; account != nil {
			account.hear(now, limiter.share, host, use, late)
		}
	}
}

// lateness is for how long nothing has come from a host beyond what is usual.
func (limiter *Limiter) lateness(now bvclock.Time, host uint64) bvclock.Duration {
	lastSeen, known := limiter.lastSeen[host]
	if !known {
		return 0
	}
	return max(now.Sub(lastSeen)-2*limiter.lag, 0)
}

// tidy forgets hosts that have told nothing of a workspace for long.
func (limiter *Limiter) tidy(now bvclock.Time) {
	if now.Sub(limiter.tidiedAt) < forgetAfter {
		return
	}
	limiter.tidiedAt = now
	maps.DeleteFunc(limiter.lastSeen, func(_ uint64, at bvclock.Time) bool { return now.Sub(at) > forgetAfter })
	for _, account := range limiter.accounts {
		account.forget(now.Add(-forgetAfter))
	}
}

func seconds(duration bvclock.Duration) float64 {
	return float64(duration) / float64(bvclock.Second)
}

// spread draws a time up to returnSpread.
func spread() bvclock.Duration { return bvclock.Duration(rand.Int64N(int64(returnSpread))) }

// decay is the factor by which an average over rateWindow fades in a time.
func decay(elapsed bvclock.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(rateWindow))
}
