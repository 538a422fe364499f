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
//	limiter := bvquota.New(clock, bvquota.Bounds{Window: window, Over: 0.1, Slack: 20})
//	limiter.SetCaps(caps)
//	decision := limiter.Take("piran")
//	switch decision.Outcome {
//	case bvquota.Ask:
//		// ask the allocator; its limiter answers with Claim
//		limiter.Granted("piran")
//	case bvquota.Refused:
//		// come back after decision.Wait
//	}
//	uses := limiter.Uses() // tell the other hosts
//	limiter.Hear(host, uses)
//
// # Invariants
//
// No copy holds more than the burst. A host that has just started begins with a part
// of the bounds' slack, so that a loss of all hosts grants nothing twice. Hosts that
// hear less than half of the others take only their share of the rate. A lost message
// makes a copy wrong until the next one, since counts are totals since a host's start.
package bvquota

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

const (
	// tellWindow is for how long hosts repeat the count of a workspace after its last
	// request.
	tellWindow = bvclock.Second
	// rateWindow is the time over which a workspace's rate is averaged.
	rateWindow = bvclock.Second
	// forgetAfter is how long the count of another host is remembered after it was
	// last told.
	forgetAfter = bvclock.Minute
	// startShare is the part of the bounds' slack that a bucket holds at the start
	// of a host.
	startShare = 0.5
	// returnSpread is the time over which the return of refused callers is spread,
	// so that those of a workspace don't come back as one.
	returnSpread = 400 * bvclock.Millisecond
	// minority is the share of the hosts up to which a group of hosts that hear each
	// other takes only its share of a cap: another group may take the rest.
	minority = 0.5
)

// Cap is the usage cap of a workspace.
type Cap struct {
	Workspace string
	Rate      float64 // requests a second
	Burst     float64 // requests beyond the rate that may come at once
}

// Bounds say how exactly caps must be kept.
type Bounds struct {
	Window bvclock.Duration // over any such time, requests are compared with the cap
	Over   float64          // share of the cap that may be run beyond it
	Slack  float64          // requests that may be run beyond that
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
	// Wait is the time after which a refused request may find the bucket filled.
	Wait bvclock.Duration
}

// Use is what a host tells of its requests of one workspace.
type Use struct {
	Workspace uint32 // hash of its name
	Count     uint32 // requests since the host's start; it wraps
	Recent    uint32 // of those, within the last second or so
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
	hosts    int              // listed, this one included
	share    float64          // of the caps that this group of hosts may take
	lag      bvclock.Duration // within which the other hosts' requests are heard of
	tidiedAt bvclock.Time
}

// New returns a Limiter without caps.
func New(clock bvclock.Clock, bounds Bounds) *Limiter {
	return &Limiter{
		clock: clock, bounds: bounds, hosts: 1, share: 1,
		accounts: make(map[string]*account), byHash: make(map[uint32]*account),
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
			found = newAccount(now, limit, limiter.startLevel(limit))
		}
		found.fill(now, limiter.share)
		found.cap = limit
		accounts[limit.Workspace] = found
		byHash[HashWorkspace(limit.Workspace)] = found
	}
	limiter.accounts, limiter.byHash = accounts, byHash
}

// startLevel is what a bucket holds before anything is known of its workspace.
func (limiter *Limiter) startLevel(limit Cap) float64 {
	whole := limit.Rate*seconds(limiter.bounds.Window) + limit.Burst
	return startShare * (limiter.bounds.Slack + limiter.bounds.Over*whole)
}

// SetHosts takes over how many hosts are listed and heard, this one included, and
// within which time what they run is heard of here.
func (limiter *Limiter) SetHosts(listed, heard int, lag bvclock.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.hosts, limiter.lag, limiter.share = max(heard, 1), lag, 1
	if share := float64(heard) / float64(max(listed, 1)); share < minority {
		limiter.share = share
	}
}

// Take decides on a request of a workspace. A workspace without a cap is granted all.
func (limiter *Limiter) Take(workspace string) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.accounts[workspace]
	if account == nil {
		return Decision{}
	}
	account.fill(now, limiter.share)
	switch {
	case account.level < 1:
		return Decision{Outcome: Refused, Wait: account.wait(limiter.share)}
	case limiter.mustAsk(now, account):
		return Decision{Outcome: Ask}
	}
	account.take(now)
	return Decision{}
}

// mustAsk reports whether a bucket may hold less than this host knows: requests of
// other hosts are heard of late, and all of them may take what is left at once.
func (limiter *Limiter) mustAsk(now bvclock.Time, account *account) bool {
	unheard := account.rate(now) * seconds(limiter.lag)
	if account.level < 1+unheard {
		return true
	}
	own := account.ownSince(now.Add(-limiter.lag))
	return float64(own) >= max(1, account.cap.Burst/float64(limiter.hosts))
}

// Granted notes that the allocator granted a request of this host.
func (limiter *Limiter) Granted(workspace string) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account := limiter.accounts[workspace]; account != nil {
		account.fill(now, limiter.share)
		account.take(now)
	}
}

// OwnUse returns what this host has run of a workspace, to go with a claim.
func (limiter *Limiter) OwnUse(workspace string) Use {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.accounts[workspace]
	if account == nil {
		return Use{Workspace: HashWorkspace(workspace)}
	}
	return account.use(now)
}

// Claim decides, as the allocator, on a request of another host, which tells what it
// has run so far.
func (limiter *Limiter) Claim(host uint64, use Use) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.byHash[use.Workspace]
	if account == nil {
		return Decision{Outcome: Refused, Wait: returnSpread} // a version of the desired state that this host lacks
	}
	account.fill(now, limiter.share)
	account.hear(now, host, use)
	if account.level < 1 {
		return Decision{Outcome: Refused, Wait: account.wait(limiter.share)}
	}
	account.grant(now, host)
	return Decision{}
}

// TakeHere decides on a request of this host where it is the allocator itself.
func (limiter *Limiter) TakeHere(workspace string) Decision {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account := limiter.accounts[workspace]
	if account == nil {
		return Decision{}
	}
	account.fill(now, limiter.share)
	if account.level < 1 {
		return Decision{Outcome: Refused, Wait: account.wait(limiter.share)}
	}
	account.take(now)
	return Decision{}
}

// Uses returns what this host has run lately, to be told to the others.
func (limiter *Limiter) Uses() []Use {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.tidy(now)
	var uses []Use
	for _, account := range limiter.accounts {
		if use := account.use(now); use.Recent > 0 {
			uses = append(uses, use)
		}
	}
	return uses
}

// Hear takes in what another host told.
func (limiter *Limiter) Hear(host uint64, uses []Use) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, use := range uses {
		if account := limiter.byHash[use.Workspace]; account != nil {
			account.fill(now, limiter.share)
			account.hear(now, host, use)
		}
	}
}

// tidy forgets hosts that have told nothing of a workspace for long.
func (limiter *Limiter) tidy(now bvclock.Time) {
	if now.Sub(limiter.tidiedAt) < forgetAfter {
		return
	}
	limiter.tidiedAt = now
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
