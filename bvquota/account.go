package bvquota

import (
	"maps"
	"math"
	"slices"

	"balsamvalve.example/bvclock"
)

// account is this host's copy of one workspace's token bucket.
type account struct {
	cap          Cap
	createdAt    bvclock.Time // when this host first got the cap
	size         float64      // capacity of the bucket, in requests
	level        float64      // requests in the bucket; below 0 if hosts ran more
	filledAt     bvclock.Time
	initialLevel float64 // level at the start of this host, until it is added to level
	overflow     float64 // requests that it gained recently while it was full
	// minorityLevel is the level of a second bucket, of the requests that this host may
	// grant while most hosts are unreachable.
	minorityLevel float64

	averageRate float64 // requests a second, as of averagedAt
	averagedAt  bvclock.Time

	count       uint32         // requests of this host since its start
	ownRequests []bvclock.Time // times of the last of them
	reports     map[uint64]report
}

// report is the count that another host last reported.
type report struct {
	count uint32
	at    bvclock.Time
}

// newAccount returns a bucket that is empty except for its initial level. Until the rate of
// its workspace has been averaged, the rate counts as the cap's.
func newAccount(now bvclock.Time, limit Cap, initialLevel, size float64) *account {
	return &account{
		cap: limit, createdAt: now, size: size, minorityLevel: size, initialLevel: initialLevel,
		filledAt: now, averageRate: limit.Rate, averagedAt: now, reports: make(map[uint64]report),
	}
}

// fill adds the requests that the bucket has gained since it was last filled. The share is
// the part of the cap that this group of hosts may grant. The initial level is added once
// most hosts are reachable, since it is shared by all of them.
func (account *account) fill(now bvclock.Time, share float64) {
	gained := account.cap.Rate * max(seconds(now.Sub(account.filledAt)), 0)
	account.filledAt = now
	if share < majorityShare {
		account.minorityLevel = min(account.minorityLevel+gained*share, max(account.size*share, 1))
		share = 1 // the other hosts' requests are unknown; minorityLevel limits the share
	} else {
		account.minorityLevel = account.size
		account.level += account.initialLevel
		account.initialLevel = 0
	}
	account.level += gained * share
	if excess := account.level - account.size; excess > 0 {
		account.overflow = min(account.overflow+excess, account.cap.Rate*seconds(overflowWindow))
		account.level = account.size
	}
}

// available returns how many requests may be granted.
func (account *account) available() float64 { return min(account.level, account.minorityLevel) }

// requiredLevel returns the level that the bucket must have for a request. A request of a
// started program may be held for up to maxHold, so what the bucket gains meanwhile may be
// missing.
func (account *account) requiredLevel(newProgram bool, share float64) float64 {
	if newProgram {
		return max(reservedShare*account.size*share, 1)
	}
	return 1 - account.gainPerMs(share)*float64(maxHold)
}

// gainPerMs returns the requests that the bucket gains in a millisecond.
func (account *account) gainPerMs(share float64) float64 {
	return account.cap.Rate * share / float64(bvclock.Second)
}

// holdDuration returns the time until the bucket contains a request.
func (account *account) holdDuration(share float64) bvclock.Duration {
	missing := 1 - account.available()
	if missing <= 0 {
		return 0
	}
	return bvclock.Duration(math.Ceil(missing / account.gainPerMs(share)))
}

// spend takes requests from the bucket and updates the average rate.
func (account *account) spend(now bvclock.Time, requests uint32) {
	account.level -= float64(requests)
	account.averageRate = account.currentRate(now) + float64(requests)/seconds(rateWindow)
	account.averagedAt = now
}

// currentRate returns the recent requests a second of all hosts.
func (account *account) currentRate(now bvclock.Time) float64 {
	return account.averageRate * decay(now.Sub(account.averagedAt))
}

// recordOwn counts a request of this host, which is reported to other hosts for the given
// time.
func (account *account) recordOwn(now bvclock.Time, window bvclock.Duration) {
	account.spend(now, 1)
	account.minorityLevel--
	account.count++
	account.ownRequests = append(account.recentOwn(now, window), now)
}

// recentOwn returns the times of this host's requests that are still reported.
func (account *account) recentOwn(now bvclock.Time, window bvclock.Duration) []bvclock.Time {
	since := now.Add(-window)
	return slices.DeleteFunc(account.ownRequests, func(at bvclock.Time) bool { return at.Before(since) })
}

// countOwnSince returns the number of requests that this host has run since a time.
func (account *account) countOwnSince(since bvclock.Time) int {
	count := 0
	for _, at := range account.ownRequests {
		if !at.Before(since) {
			count++
		}
	}
	return count
}

func (account *account) usage(now bvclock.Time, window bvclock.Duration) Usage {
	account.ownRequests = account.recentOwn(now, window)
	return Usage{Workspace: HashWorkspace(account.cap.Workspace), Count: account.count, Recent: uint32(len(account.ownRequests))}
}

// recordUsage counts the requests that another host reported. SilentFor is the time beyond
// the usual interval during which nothing arrived from it. If it is the host's first report,
// only its recent requests count: the others may have been counted before.
func (account *account) recordUsage(now bvclock.Time, share float64, host uint64, usage Usage, silentFor bvclock.Duration) {
	previous, known := account.reports[host]
	if !known {
		previous.count = usage.Count - usage.Recent
	}
	unreported := int32(usage.Count - previous.count)
	if unreported < 0 {
		return // an older message, or the answer to a grant was lost
	}
	account.reports[host] = report{usage.Count, now}
	if unreported == 0 {
		return
	}
	account.fill(now, share)
	account.spend(now, uint32(unreported))
	account.level += account.reclaimOverflow(float64(unreported), silentFor)
}

// reclaimOverflow returns the requests that the bucket would have gained instead of
// overflowing if late reports had arrived in time. Without it, a host that was disconnected
// for some seconds would take all requests that the others ran meanwhile from the bucket at
// once, and refuse requests for as long.
func (account *account) reclaimOverflow(requests float64, silentFor bvclock.Duration) float64 {
	reclaimed := min(requests, account.overflow, account.cap.Rate*seconds(silentFor))
	account.overflow -= reclaimed
	return reclaimed
}

// recordGrant counts a request of another host before that host reports it.
func (account *account) recordGrant(now bvclock.Time, host uint64) {
	account.spend(now, 1)
	account.minorityLevel--
	account.reports[host] = report{account.reports[host].count + 1, now}
}

// retryAfter returns the time until the bucket has the required level, plus a random delay.
func (account *account) retryAfter(required, share float64) bvclock.Duration {
	missing := max(required-account.available(), 0)
	gain := account.gainPerMs(share)
	if missing >= gain*float64(maxRetryAfter) {
		return maxRetryAfter + randomRetryDelay()
	}
	return bvclock.Duration(missing/gain) + randomRetryDelay()
}

func (account *account) dropReports(since bvclock.Time) {
	maps.DeleteFunc(account.reports, func(_ uint64, last report) bool { return last.at.Before(since) })
}
