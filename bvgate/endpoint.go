package bvgate

import (
	"container/heap"
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
)

const (
	// removedTTL is how long a removed endpoint is remembered, so that an endpoint
	// missing from a lagging list still gets the releases of ended programs.
	removedTTL = 10 * bvclock.Minute
	// peakWindow covers the lag of the load reports; see endpoint.peaks.
	peakWindow = 10 * bvclock.Second
	// cachePressureWeight is the weight of a full cache relative to full slots in the
	// choice of an endpoint for a program without a cached prefix.
	cachePressureWeight = 0.5
)

// incarnation is one run of an endpoint's process, with the calls that were sent to it.
type incarnation struct {
	endpoint  *endpoint
	id        string
	idUnknown bool // no report has contained the id yet
	calls     map[RequestID]*call
}

// endpoint is the state of an endpoint.
type endpoint struct {
	report        EndpointReport
	incarnation   *incarnation
	removed       bool
	parked        []*request
	cache         cache
	prefixes      map[programKey]*cachedPrefix
	prefillUntil  float64
	peaks         [2]int // maximum of running calls in the current and the previous window
	peaksSince    bvclock.Time
	externalCalls int     // calls that this pool did not grant
	speed         average // ratio of actual to estimated duration of calls
	slots         int     // counted in Pool.slots

	cacheCapacity int // counted in Pool.cacheCapacity
	pressure      float64
	index         int // in the heap of endpoints with a free slot, from 1; 0 if not in it
	woken         bool
	health        health
	isolatedFor   *request // suspect for which the endpoint is drained
	isolatedCalls int      // running suspects; more than one only after a late MarkUsed
	timer         timer    // deletes a removed endpoint
	externalTimer timer
}

func (endpoint *endpoint) name() string { return endpoint.report.Name }

func (endpoint *endpoint) running() int { return len(endpoint.incarnation.calls) }

func (endpoint *endpoint) addPrefix(added *cachedPrefix) {
	if endpoint.prefixes == nil {
		endpoint.prefixes = make(map[programKey]*cachedPrefix)
	}
	endpoint.prefixes[added.program.key] = added
}

// isOpen reports whether calls may be granted to the endpoint at all.
func (endpoint *endpoint) isOpen() bool {
	return !endpoint.removed && !endpoint.report.Leaving && !endpoint.health.ejected
}

// isReserved reports whether the endpoint is reserved for a suspect.
func (endpoint *endpoint) isReserved() bool {
	return endpoint.isolatedFor != nil || endpoint.isolatedCalls > 0
}

func (endpoint *endpoint) openCacheTokens() int {
	if !endpoint.isOpen() {
		return 0
	}
	return endpoint.report.CacheTokens
}

// freeSlots is how many more calls may be granted to the endpoint.
func (endpoint *endpoint) freeSlots() int {
	if !endpoint.isOpen() || endpoint.isReserved() {
		return 0
	}
	return endpoint.usableSlots() - endpoint.running() - endpoint.externalCalls
}

// usableSlots is how many calls the endpoint may run now.
func (endpoint *endpoint) usableSlots() int {
	if endpoint.health.probing {
		return min(endpoint.report.Slots, 1)
	}
	return endpoint.report.Slots
}

func (endpoint *endpoint) slowdown() float64 {
	return min(max(endpoint.speed.valueOr(1), 0.2), 5)
}

func (endpoint *endpoint) computePressure() float64 {
	load := float64(endpoint.running()+1) / float64(max(endpoint.report.Slots, 1))
	held := float64(endpoint.cache.tokens+endpoint.cache.pinned) / float64(max(endpoint.report.CacheTokens, 1))
	return load*endpoint.slowdown() + cachePressureWeight*min(held, 1)
}

// endpointHeap holds the endpoints with a free slot, least pressure first.
type endpointHeap []*endpoint

func (endpoints endpointHeap) Len() int { return len(endpoints) }

func (endpoints endpointHeap) Less(i, j int) bool {
	if endpoints[i].pressure != endpoints[j].pressure {
		return endpoints[i].pressure < endpoints[j].pressure
	}
	return strings.Compare(endpoints[i].name(), endpoints[j].name()) < 0
}

func (endpoints endpointHeap) Swap(i, j int) {
	endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	endpoints[i].index = i + 1
	endpoints[j].index = j + 1
}

func (endpoints *endpointHeap) Push(item any) {
	added := item.(*endpoint)
	*endpoints = append(*endpoints, added)
	added.index = len(*endpoints)
}

func (endpoints *endpointHeap) Pop() any {
	last := (*endpoints)[len(*endpoints)-1]
	(*endpoints)[len(*endpoints)-1] = nil
	*endpoints = (*endpoints)[:len(*endpoints)-1]
	last.index = 0
	return last
}

// refreshEndpoint updates the derived state of an endpoint after any change to it: its
// position in the heap and its part of the pool's totals.
func (pool *Pool) refreshEndpoint(changed *endpoint) {
	slots := 0
	if changed.isOpen() {
		slots = max(changed.usableSlots(), 0)
	}
	pool.slots += slots - changed.slots
	changed.slots = slots
	pool.cacheCapacity += changed.openCacheTokens() - changed.cacheCapacity
	changed.cacheCapacity = changed.openCacheTokens()
	changed.pressure = changed.computePressure()
	free := changed.freeSlots() > 0
	switch {
	case free && changed.index == 0:
		heap.Push(&pool.freeEndpoints, changed)
	case !free && changed.index != 0:
		heap.Remove(&pool.freeEndpoints, changed.index-1)
	case free:
		heap.Fix(&pool.freeEndpoints, changed.index-1)
	}
	if free && len(changed.parked) > 0 {
		pool.wake(changed)
	}
	if !changed.isOpen() {
		pool.unparkAll(changed)
		pool.requeueSuspect(changed)
	}
}

// wake schedules an endpoint with parked requests and a free slot for the next Tick.
func (pool *Pool) wake(woken *endpoint) {
	if !woken.woken {
		woken.woken = true
		pool.woken = append(pool.woken, woken)
	}
}

// UpdateEndpoint adds an endpoint or updates its state from a report.
func (pool *Pool) UpdateEndpoint(now bvclock.Time, report EndpointReport) {
	found := pool.endpoints[report.Name]
	if found == nil {
		found = pool.addEndpoint(report)
	}
	if found.incarnation.idUnknown {
		found.incarnation.idUnknown = false
		found.incarnation.id = report.Incarnation
	}
	if found.incarnation.id != report.Incarnation {
		pool.replaceIncarnation(found, report.Incarnation)
	}
	found.removed = false
	pool.stopTimer(&found.timer)
	found.report = report
	found.updateExternal(now)
	pool.stopTimer(&found.externalTimer)
	if found.externalCalls > 0 {
		pool.setTimer(&found.externalTimer, now.Add(peakWindow), externalExpiry{found})
	}
	pool.evict(now, found)
	pool.refreshEndpoint(found)
}

func (pool *Pool) addEndpoint(report EndpointReport) *endpoint {
	if pool.endpoints == nil {
		pool.endpoints = make(map[string]*endpoint)
	}
	added := &endpoint{report: report}
	added.incarnation = &incarnation{endpoint: added, id: report.Incarnation, calls: make(map[RequestID]*call)}
	pool.endpoints[report.Name] = added
	at, _ := slices.BinarySearch(pool.endpointNames, report.Name)
	pool.endpointNames = slices.Insert(pool.endpointNames, at, report.Name)
	return added
}

// endpointNamed returns an endpoint that an owner names. One that is not listed yet
// counts as removed; the incarnation in its first report is assumed to be the one that
// the owner means.
func (pool *Pool) endpointNamed(now bvclock.Time, name string) *endpoint {
	if found := pool.endpoints[name]; found != nil {
		return found
	}
	added := pool.addEndpoint(EndpointReport{Name: name})
	added.incarnation.idUnknown = true
	added.removed = true
	pool.setTimer(&added.timer, now.Add(removedTTL), added)
	return added
}

// replaceIncarnation resets an endpoint's state: the calls and the cache of the old
// incarnation are lost.
func (pool *Pool) replaceIncarnation(restarted *endpoint, id string) {
	pool.dropPrefixes(restarted)
	restarted.incarnation = &incarnation{endpoint: restarted, id: id, calls: make(map[RequestID]*call)}
	restarted.cache = cache{}
	restarted.prefillUntil = 0
	restarted.peaks = [2]int{}
	restarted.externalCalls = 0
	restarted.isolatedCalls = 0
	restarted.speed = average{}
	pool.resetHealth(restarted)
}

func (pool *Pool) dropPrefixes(of *endpoint) {
	for _, prefix := range of.prefixes {
		pool.forgetPrefix(prefix)
	}
	of.prefixes = nil
}

// RemoveEndpoint removes an endpoint that is no longer listed. Its calls stay until
// they finish.
func (pool *Pool) RemoveEndpoint(now bvclock.Time, name string) {
	removed := pool.endpoints[name]
	if removed == nil || removed.removed {
		return
	}
	removed.removed = true
	pool.setTimer(&removed.timer, now.Add(removedTTL), removed)
	pool.refreshEndpoint(removed)
}

// fire deletes an endpoint whose removedTTL has passed.
func (endpoint *endpoint) fire(pool *Pool, _ bvclock.Time) {
	pool.dropPrefixes(endpoint)
	delete(pool.endpoints, endpoint.name())
	at, _ := slices.BinarySearch(pool.endpointNames, endpoint.name())
	pool.endpointNames = slices.Delete(pool.endpointNames, at, at+1)
}

// recordPeak records the highest number of running calls in the last one to two
// windows.
func (endpoint *endpoint) recordPeak(now bvclock.Time) {
	if now.Sub(endpoint.peaksSince) >= peakWindow {
		endpoint.peaks[1] = endpoint.peaks[0]
		endpoint.peaks[0] = 0
		endpoint.peaksSince = now
	}
	endpoint.peaks[0] = max(endpoint.peaks[0], endpoint.running())
}

// updateExternal estimates the calls that this pool did not grant, such as those of a
// host that decides from an older list. The report lags: only calls in excess of the
// recent peak of this pool's own calls are certainly external.
func (endpoint *endpoint) updateExternal(now bvclock.Time) {
	endpoint.recordPeak(now)
	endpoint.externalCalls = max(0, endpoint.report.Running-max(endpoint.peaks[0], endpoint.peaks[1]))
}

// externalExpiry resets the external calls when no report has confirmed them for a
// peakWindow. Otherwise an endpoint whose reports stop would count as full permanently.
type externalExpiry struct{ endpoint *endpoint }

func (expiry externalExpiry) fire(pool *Pool, _ bvclock.Time) {
	expiry.endpoint.externalCalls = 0
	pool.refreshEndpoint(expiry.endpoint)
}
