package bvgate

import (
	"container/heap"
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
)

const (
	// goneKept is how long a removed endpoint is remembered, so that one that
	// was missing in a lagging list is still told to release ended programs.
	goneKept = 10 * bvclock.Minute
	// peakWindow covers the lag of the load reports, see endpoint.peak.
	peakWindow = 10 * bvclock.Second
	// cachePressure weighs a full cache against full slots when a program
	// without a cached prefix gets its endpoint.
	cachePressure = 0.5
)

// boot is one incarnation of an endpoint with the calls that were sent to it.
type boot struct {
	endpoint    *endpoint
	incarnation string
	unknown     bool // no report named the incarnation yet
	calls       map[RequestID]*call
}

// endpoint is an endpoint's row.
type endpoint struct {
	report       EndpointReport
	boot         *boot
	gone         bool
	parked       []*request
	cache        cache
	sites        map[programKey]*site
	prefillUntil float64
	peaks        [2]int // of running calls in this window and the one before
	peakAt       bvclock.Time
	external     int     // calls of others
	speed        average // time of a call over its estimate
	slots        int     // counted in pool.slots

	room          int // counted in pool.room
	pressure      float64
	index         int // in the heap of endpoints with a free slot, from 1
	waking        bool
	health        health
	isolates      *request // suspect for which the endpoint is emptied
	alone         int      // suspects that run here: more than one after a late Used
	timer         timer    // forgets a removed endpoint
	externalTimer timer
}

func (endpoint *endpoint) name() string { return endpoint.report.Name }

func (endpoint *endpoint) running() int { return len(endpoint.boot.calls) }

func (endpoint *endpoint) visit(visited *site) {
	if endpoint.sites == nil {
		endpoint.sites = make(map[programKey]*site)
	}
	endpoint.sites[visited.program.key] = visited
}

// open reports whether the endpoint may be granted at all.
func (endpoint *endpoint) open() bool {
	return !endpoint.gone && !endpoint.report.Leaving && !endpoint.health.ejected
}

// reserved reports whether the endpoint is kept for a suspect.
func (endpoint *endpoint) reserved() bool {
	return endpoint.isolates != nil || endpoint.alone > 0
}

func (endpoint *endpoint) openRoom() int {
	if !endpoint.open() {
		return 0
	}
	return endpoint.report.CacheTokens
}

// free is how many more calls the endpoint may be granted.
func (endpoint *endpoint) free() int {
	if !endpoint.open() || endpoint.reserved() {
		return 0
	}
	return endpoint.usable() - endpoint.running() - endpoint.external
}

// usable is how many calls the endpoint may run now.
func (endpoint *endpoint) usable() int {
	if endpoint.health.probing {
		return min(endpoint.report.Slots, 1)
	}
	return endpoint.report.Slots
}

func (endpoint *endpoint) slowness() float64 {
	return min(max(endpoint.speed.or(1), 0.2), 5)
}

func (endpoint *endpoint) measure() float64 {
	load := float64(endpoint.running()+1) / float64(max(endpoint.report.Slots, 1))
	held := float64(endpoint.cache.tokens+endpoint.cache.pinned) / float64(max(endpoint.report.CacheTokens, 1))
	return load*endpoint.slowness() + cachePressure*min(held, 1)
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

// seat updates an endpoint's place in the heap after any change to it.
func (pool *Pool) seat(seated *endpoint) {
	slots := 0
	if seated.open() {
		slots = max(seated.usable(), 0)
	}
	pool.slots += slots - seated.slots
	seated.slots = slots
	pool.room += seated.openRoom() - seated.room
	seated.room = seated.openRoom()
	seated.pressure = seated.measure()
	free := seated.free() > 0
	switch {
	case free && seated.index == 0:
		heap.Push(&pool.free, seated)
	case !free && seated.index != 0:
		heap.Remove(&pool.free, seated.index-1)
	case free:
		heap.Fix(&pool.free, seated.index-1)
	}
	if free && len(seated.parked) > 0 {
		pool.wake(seated)
	}
	if !seated.open() {
		pool.unparkAll(seated)
		pool.abandon(seated)
	}
}

// wake marks an endpoint with parked requests and a free slot for the next
// Tick.
func (pool *Pool) wake(woken *endpoint) {
	if !woken.waking {
		woken.waking = true
		pool.woken = append(pool.woken, woken)
	}
}

// UpdateEndpoint adds an endpoint or updates what is known of it.
func (pool *Pool) UpdateEndpoint(now bvclock.Time, report EndpointReport) {
	found := pool.endpoints[report.Name]
	if found == nil {
		found = pool.addEndpoint(report)
	}
	if found.boot.unknown {
		found.boot.unknown = false
		found.boot.incarnation = report.Incarnation
	}
	if found.boot.incarnation != report.Incarnation {
		pool.reboot(found, report.Incarnation)
	}
	found.gone = false
	pool.stopTimer(&found.timer)
	found.report = report
	found.countExternal(now)
	pool.stopTimer(&found.externalTimer)
	if found.external > 0 {
		pool.setTimer(&found.externalTimer, now.Add(peakWindow), externalAlarm{found})
	}
	pool.shrink(now, found)
	pool.seat(found)
}

func (pool *Pool) addEndpoint(report EndpointReport) *endpoint {
	if pool.endpoints == nil {
		pool.endpoints = make(map[string]*endpoint)
	}
	added := &endpoint{report: report}
	added.boot = &boot{endpoint: added, incarnation: report.Incarnation, calls: make(map[RequestID]*call)}
	pool.endpoints[report.Name] = added
	at, _ := slices.BinarySearch(pool.names, report.Name)
	pool.names = slices.Insert(pool.names, at, report.Name)
	return added
}

// endpointOf returns an endpoint that an owner names. One that is not listed
// yet counts as removed; its first report is taken for the incarnation that
// the owner means.
func (pool *Pool) endpointOf(now bvclock.Time, name string) *endpoint {
	if found := pool.endpoints[name]; found != nil {
		return found
	}
	added := pool.addEndpoint(EndpointReport{Name: name})
	added.boot.unknown = true
	added.gone = true
	pool.setTimer(&added.timer, now.Add(goneKept), added)
	return added
}

// reboot starts an endpoint's row anew: the calls and the cache of the old
// incarnation are gone.
func (pool *Pool) reboot(rebooted *endpoint, incarnation string) {
	pool.dropSites(rebooted)
	rebooted.boot = &boot{endpoint: rebooted, incarnation: incarnation, calls: make(map[RequestID]*call)}
	rebooted.cache = cache{}
	rebooted.prefillUntil = 0
	rebooted.peaks = [2]int{}
	rebooted.external = 0
	rebooted.alone = 0
	rebooted.speed = average{}
	pool.rest(rebooted)
}

func (pool *Pool) dropSites(of *endpoint) {
	for _, site := range of.sites {
		pool.forget(site)
	}
	of.sites = nil
}

// RemoveEndpoint forgets an endpoint that is gone. Its calls stay until they finish.
func (pool *Pool) RemoveEndpoint(now bvclock.Time, name string) {
	removed := pool.endpoints[name]
	if removed == nil || removed.gone {
		return
	}
	removed.gone = true
	pool.setTimer(&removed.timer, now.Add(goneKept), removed)
	pool.seat(removed)
}

// ring forgets an endpoint that was removed long ago.
func (endpoint *endpoint) ring(pool *Pool, _ bvclock.Time) {
	pool.dropSites(endpoint)
	delete(pool.endpoints, endpoint.name())
	at, _ := slices.BinarySearch(pool.names, endpoint.name())
	pool.names = slices.Delete(pool.names, at, at+1)
}

// countPeak keeps the highest number of running calls of the last one to two
// windows.
func (endpoint *endpoint) countPeak(now bvclock.Time) {
	if now.Sub(endpoint.peakAt) >= peakWindow {
		endpoint.peaks[1] = endpoint.peaks[0]
		endpoint.peaks[0] = 0
		endpoint.peakAt = now
	}
	endpoint.peaks[0] = max(endpoint.peaks[0], endpoint.running())
}

// countExternal learns of calls that this pool did not grant, such as those of
// a host that decides from an older list. The report lags: only what exceeds
// all that this pool had running lately is certainly not its own.
func (endpoint *endpoint) countExternal(now bvclock.Time) {
	endpoint.countPeak(now)
	endpoint.external = max(0, endpoint.report.Running-max(endpoint.peaks[0], endpoint.peaks[1]))
}

// externalAlarm forgets the calls of others when no report confirmed them for
// a while. Otherwise an endpoint whose reports stop would stay full for good.
type externalAlarm struct{ endpoint *endpoint }

func (alarm externalAlarm) ring(pool *Pool, _ bvclock.Time) {
	alarm.endpoint.external = 0
	pool.seat(alarm.endpoint)
}
