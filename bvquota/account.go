package bvquota

import (
	"maps"
	"slices"

	"balsamvalve.example/bvclock"
)

// account is this host's copy of the bucket of one workspace.
type account struct {
	cap      Cap
	level    float64 // requests that the bucket holds; below 0 where hosts ran more
	filledAt bvclock.Time

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

func newAccount(now bvclock.Time, limit Cap, level float64) *account {
	return &account{cap: limit, level: min(level, limit.Burst), filledAt: now, rateAt: now, told: make(map[uint64]told)}
}

// fill adds what the bucket has gained since it was last looked at, of the given share
// of the cap.
func (account *account) fill(now bvclock.Time, share float64) {
	gained := account.cap.Rate * share * seconds(now.Sub(account.filledAt))
	// A bucket of less than one request would never grant any.
	account.level = min(account.level+max(gained, 0), max(account.cap.Burst*share, 1))
	account.filledAt = now
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

// take counts a request of this host.
func (account *account) take(now bvclock.Time) {
	account.spend(now, 1)
	account.count++
	account.own = append(account.ownRecent(now), now)
}

// ownRecent returns the times of this host's requests that are still told.
func (account *account) ownRecent(now bvclock.Time) []bvclock.Time {
	since := now.Add(-tellWindow)
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

func (account *account) use(now bvclock.Time) Use {
	account.own = account.ownRecent(now)
	return Use{Workspace: HashWorkspace(account.cap.Workspace), Count: account.count, Recent: uint32(len(account.own))}
}

// hear takes in what another host told. Of a host that is heard for the first time,
// only its last requests are known not to be counted yet.
func (account *account) hear(now bvclock.Time, host uint64, use Use) {
	before, known := account.told[host]
	if !known {
		before.count = use.Count - use.Recent
	}
	fresh := int32(use.Count - before.count)
	if fresh < 0 {
		return // an older message, or a grant whose answer was lost
	}
	account.spend(now, uint32(fresh))
	account.told[host] = told{use.Count, now}
}

// grant counts a request of another host before that host tells of it.
func (account *account) grant(now bvclock.Time, host uint64) {
	account.spend(now, 1)
	account.told[host] = told{account.told[host].count + 1, now}
}

// wait is the time until the bucket holds a request, and a random part more.
func (account *account) wait(share float64) bvclock.Duration {
	missing := max(1-account.level, 0)
	return bvclock.Duration(missing/(account.cap.Rate*share)*float64(bvclock.Second)) + spread()
}

func (account *account) forget(since bvclock.Time) {
	maps.DeleteFunc(account.told, func(_ uint64, told told) bool { return told.at.Before(since) })
}
