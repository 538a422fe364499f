package bvquota

import (
	"maps"
	"math"
	"slices"

	"balsamvalve.example/bvclock"
)

// account is this host's copy of the bucket of one workspace.
type account struct {
	cap      Cap
	since    bvclock.Time // when this host first knew of the cap
	size     float64      // requests that the bucket holds at most
	level    float64      // that it holds; below 0 where hosts ran more
	filledAt bvclock.Time
	start    float64 // what the bucket holds at first, until it is added
	spilled  float64 // what it gained lately while it was full
	// part is a bucket of what this host may grant while most hosts are not heard.
	part float64

	average float64 // of the requests a second, as of rateAt
	rateAt  bvclock.Time

	count uint32         // requests of this host since its start
	own   []bvclock.Time // of the last of them
	told  map[uint64]told
}

// told is what another host last told.
type told struct {
	count uint32
	at    bvclock.Time
}

// newAccount returns a bucket that is empty but for what it holds at the start. Until
// its workspace's rate is learnt, it counts as the cap's.
func newAccount(now bvclock.Time, limit Cap, start, size float64) *account {
	return &account{
		cap: limit, since: now, size: size, part: size, start: start,
		filledAt: now, average: limit.Rate, rateAt: now, told: make(map[uint64]told),
	}
}

// fill adds what the bucket has gained since it was last looked at. The share is the part
// of the cap that this group of hosts may take. What the bucket holds at the start comes
// once most hosts are heard: it is meant for all of them.
func (account *account) fill(now bvclock.Time, share float64) {
	gained := account.cap.Rate * max(seconds(now.Sub(account.filledAt)), 0)
	account.filledAt = now
	if share < minority {
		account.part = min(account.part+gained*share, max(account.size*share, 1))
		share = 1 // what the others leave is not known
	} else {
		account.part = account.size
		account.level += account.start
		account.start = 0
	}
	account.level += gained * share
	if over := account.level - account.size; over > 0 {
		account.spilled = min(account.spilled+over, account.cap.Rate*seconds(spillWindow))
		account.level = account.size
	}
}

// available returns how many requests may be granted.
func (account *account) available() float64 { return min(account.level, account.part) }

// needed is what the bucket must hold for a request. For one of a program under way it may
// lack what it gains while the request is held.
func (account *account) needed(fresh bool, share float64) float64 {
	if fresh {
		return max(newShare*account.size*share, 1)
	}
	return 1 - account.gain(share)*float64(holdTime)
}

// gain is what the bucket gains in a millisecond.
func (account *account) gain(share float64) float64 {
	return account.cap.Rate * share / float64(bvclock.Second)
}

// hold is the time until the bucket holds a request.
func (account *account) hold(share float64) bvclock.Duration {
	missing := 1 - account.available()
	if missing <= 0 {
		return 0
	}
	return bvclock.Duration(math.Ceil(missing / account.gain(share)))
}

// spend takes requests from the bucket.
func (account *account) spend(now bvclock.Time, requests uint32) {
	account.level -= float64(requests)
	account.average = account.rate(now) + float64(requests)/seconds(rateWindow)
	account.rateAt = now
}

// rate returns the requests a second of all hosts lately.
func (account *account) rate(now bvclock.Time) float64 {
	return account.average * decay(now.Sub(account.rateAt))
}

// take counts a request of this host, which is told for the given time.
func (account *account) take(now bvclock.Time, window bvclock.Duration) {
	account.spend(now, 1)
	account.part--
	account.count++
	account.own = append(account.ownRecent(now, window), now)
}

// ownRecent returns the times of this host's requests that are still told.
func (account *account) ownRecent(now bvclock.Time, window bvclock.Duration) []bvclock.Time {
	since := now.Add(-window)
	return slices.DeleteFunc(account.own, func(at bvclock.Time) bool { return at.Before(since) })
}

// ownSince returns how many requests this host has run since a time.
func (account *account) ownSince(since bvclock.Time) int {
	count := 0
	for _, at := range account.own {
		if !at.Before(since) {
			count++
		}
	}
	return count
}

func (account *account) use(now bvclock.Time, window bvclock.Duration) Usage {
	account.own = account.ownRecent(now, window)
	return Usage{Workspace: HashWorkspace(account.cap.Workspace), Count: account.count, Recent: uint32(len(account.own))}
}

// hear takes in what another host told, and for how long nothing had come from it beyond
// what is usual. Of a host that is heard for the first time, only its last requests are
// known not to be counted yet.
func (account *account) hear(now bvclock.Time, share float64, host uint64, use Usage, late bvclock.Duration) {
	before, known := account.told[host]
	if !known {
		before.count = use.Count - use.Recent
	}
	fresh := int32(use.Count - before.count)
	if fresh < 0 {
		return // an older message, or a grant whose answer was lost
	}
	account.told[host] = told{use.Count, now}
	if fresh == 0 {
		return
	}
	account.fill(now, share)
	account.spend(now, uint32(fresh))
	account.level += account.unspill(float64(fresh), late)
}

// unspill returns what the bucket would have gained, had it been known in time that it was
// not full. Without it, a host that was cut off for some seconds would take all that the
// others ran meanwhile from the bucket at once, and refuse for as long.
func (account *account) unspill(requests float64, late bvclock.Duration) float64 {
	found := min(requests, account.spilled, account.cap.Rate*seconds(late))
	account.spilled -= found
	return found
}

// grant counts a request of another host before that host tells of it.
func (account *account) grant(now bvclock.Time, host uint64) {
	account.spend(now, 1)
	account.part--
	account.told[host] = told{account.told[host].count + 1, now}
}

// wait is the time until the bucket holds what is needed, and a random part more.
func (account *account) wait(needed, share float64) bvclock.Duration {
	missing := max(needed-account.available(), 0)
	gain := account.gain(share)
	if missing >= gain*float64(mostWait) {
		return mostWait + spread()
	}
	return bvclock.Duration(missing/gain) + spread()
}

func (account *account) forget(since bvclock.Time) {
	maps.DeleteFunc(account.told, func(_ uint64, told told) bool { return told.at.Before(since) })
}
