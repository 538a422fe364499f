package bvdispatch

import (
	"maps"
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// Desk holds the pools of all services for a daemon whose calls run side by
// side. Make one with NewDesk.
type Desk struct {
	clock bvclock.Clock
	seed  uint64
	zone  string

	without bvmechanism.Set

	mutex  sync.Mutex
	pools  map[string]*Pool
	placed []Placement // since the last look

	suspects Suspects
	trackers Trackers // nil: none
}

// Trackers are the hosts that count the calls at endpoints. Endpoints go by the hashes
// of their IDs.
type Trackers interface {
	// Counts asks how many calls the other hosts have at endpoints now. Endpoints of
	// which it is not known are missing.
	Counts(endpoints []uint64) map[uint64]int
	// Used tells how many calls this host has at an endpoint now.
	Used(endpoint uint64, running int)
	// Holder asks which endpoint has a conversation of a program, and how many tokens of
	// it. A conversation that is not known is where the program's last turn was.
	Holder(program, conversation uint64) (endpoint uint64, tokens int, found bool)
	// Holds tells which endpoint has a conversation.
	Holds(program, conversation, endpoint uint64, tokens int)
}

// SetTrackers lets decisions ask trackers. It is called before the first call.
func (desk *Desk) SetTrackers(trackers Trackers) { desk.trackers = trackers }

// Placement is a part of a prompt that an endpoint was sent.
type Placement struct {
	Endpoint uint64 // hash of its ID
	Part     bvroute.Part
}

// maxPlaced bounds what is kept to tell other hosts; more than that in one
// interval is not told.
const maxPlaced = 512

// NewDesk returns a Desk without pools.
func NewDesk(clock bvclock.Clock, seed uint64, zone string) *Desk {
	return &Desk{clock: clock, seed: seed, zone: zone, pools: make(map[string]*Pool)}
}

// Without switches mechanisms off, for experiments. It is called before the first
// call.
func (desk *Desk) Without(mechanisms bvmechanism.Set) { desk.without = mechanisms }

// SetEndpoints takes over the list of all endpoints. Services that have no
// endpoint any more keep an empty pool.
func (desk *Desk) SetEndpoints(listed []bvplatform.Endpoint) {
	byService := make(map[string][]bvplatform.Endpoint)
	for _, endpoint := range listed {
		byService[endpoint.Serves] = append(byService[endpoint.Serves], endpoint)
	}
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for service := range byService {
		desk.pool(service)
	}
	for service, pool := range desk.pools {
		for _, replaced := range pool.SetEndpoints(byService[service]) {
			desk.suspects.Gone(desk.clock.Now(), replaced) // whatever ran there may have crashed it
		}
	}
}

func (desk *Desk) pool(service string) *Pool {
	found := desk.pools[service]
	if found == nil {
		found = NewPool(desk.seed, desk.zone)
		found.Without(desk.without)
		desk.pools[service] = found
	}
	return found
}

// Admit reports whether a new program may begin at a service. If not, it returns
// the time after which to come back.
func (desk *Desk) Admit(service string, priority int) (bvclock.Duration, bool) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.pool(service).Admit(now, priority)
}

// ReadingRates returns how many prompt tokens the engines of each service read in a
// millisecond, as far as this host has learnt.
func (desk *Desk) ReadingRates() map[string]float64 {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	rates := make(map[string]float64)
	for service, pool := range desk.pools {
		if pool.reading.count > 0 {
			rates[service] = pool.ReadingRate()
		}
	}
	return rates
}

// Choose returns the endpoint for a call and counts the call there. Each is to
// be followed by an End.
func (desk *Desk) Choose(service string, request *Request) (bvplatform.Endpoint, bool) {
	desk.findHolder(request)
	counts := desk.countsFor(service, request)
	chosen, running, found := desk.begin(service, request, counts)
	if found {
		desk.tell(HashID(chosen.ID()), running)
	}
	return chosen, found
}

// UnderWay reports whether a turn's program had turns before this one, through whatever
// host, as far as its tracker knows.
func (desk *Desk) UnderWay(request *Request) bool {
	desk.findHolder(request)
	return request.Held != (Held{})
}

// findHolder asks which endpoint has the conversation, once, unless that is known.
func (desk *Desk) findHolder(request *Request) {
	if !desk.tracks(request) || request.sought || request.Held != (Held{}) {
		return
	}
	request.sought = true
	if endpoint, tokens, found := desk.trackers.Holder(request.Program, request.Conversation); found {
		request.Held = Held{Endpoint: endpoint, Tokens: tokens}
	}
}

// tracks reports whether the request's program has a tracker.
func (desk *Desk) tracks(request *Request) bool {
	return desk.trackers != nil && request.Program != 0 && !desk.without.Has(bvmechanism.Holders)
}

// countsFor asks the trackers of the endpoints that look best for a call. It returns
// nil where nothing was asked.
func (desk *Desk) countsFor(service string, request *Request) map[uint64]int {
	if desk.trackers == nil || desk.without.Has(bvmechanism.Probes) {
		return nil
	}
	shortlist := desk.shortlist(service, request)
	if len(shortlist) < 2 {
		return nil // there is no choice
	}
	return desk.trackers.Counts(shortlist)
}

func (desk *Desk) shortlist(service string, request *Request) []uint64 {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	pool := desk.pool(service)
	if !pool.Asks(now) {
		return nil
	}
	return pool.Shortlist(now, request)
}

// begin decides by what trackers told, and counts the call. It returns how many calls
// this host has at the chosen endpoint with it.
func (desk *Desk) begin(service string, request *Request, counts map[uint64]int) (bvplatform.Endpoint, int, bool) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	pool := desk.pool(service)
	request.Among = counts
	chosen, found := pool.Choose(now, request)
	if !found {
		return chosen, 0, false
	}
	desk.note(chosen.ID(), pool.Begin(now, chosen.ID(), request))
	return chosen, pool.RunningAt(HashID(chosen.ID())), true
}

// tell tells an endpoint's tracker of this host's calls there. It must not be called
// with the lock held: the trackers ask this desk in turn.
func (desk *Desk) tell(endpoint uint64, running int) {
	if desk.trackers != nil && !desk.without.Has(bvmechanism.Probes) {
		desk.trackers.Used(endpoint, running)
	}
}

func (desk *Desk) note(endpoint string, parts []bvroute.Part) {
	for _, part := range parts {
		if len(desk.placed) < maxPlaced {
			desk.placed = append(desk.placed, Placement{Endpoint: HashID(endpoint), Part: part})
		}
	}
}

// Report returns this host's calls under way, by the hash of the endpoint's
// name, and what was placed since the last report.
func (desk *Desk) Report() (map[uint64]int, []Placement) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	running := make(map[uint64]int)
	for _, pool := range desk.pools {
		maps.Copy(running, pool.Running())
	}
	placed := desk.placed
	desk.placed = nil
	return running, placed
}

// SetPeerLoads takes over how many calls the other hosts have at each endpoint,
// by the hash of its ID.
func (desk *Desk) SetPeerLoads(loads map[uint64]int) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for _, pool := range desk.pools {
		pool.SetPeerLoads(now, loads)
	}
}

// Place takes in what another host sent.
func (desk *Desk) Place(placed []Placement) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for _, placement := range placed {
		for _, pool := range desk.pools {
			pool.Placed(placement.Endpoint, []bvroute.Part{placement.Part})
		}
	}
}

// ZoneOf returns the availability zone of an endpoint by the hash of its ID, or
// "" where it is not listed.
func (desk *Desk) ZoneOf(endpoint uint64) string {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for _, pool := range desk.pools {
		if row := pool.byHash[endpoint]; row != nil {
			return row.entry.Zone
		}
	}
	return ""
}

// Running returns how many calls of this host are under way at an endpoint, by the
// hash of its ID.
func (desk *Desk) Running(endpoint uint64) int {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for _, pool := range desk.pools {
		if running := pool.RunningAt(endpoint); running > 0 {
			return running
		}
	}
	return 0
}

// Told takes in an endpoint's own word on its load.
func (desk *Desk) Told(service, endpoint string, load bvroute.Load) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.pool(service).Told(now, endpoint, load)
}

// Untold returns how this host's calls ended since the last look, by the hash of
// the endpoint's ID.
func (desk *Desk) Untold() map[uint64]Report {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	untold := make(map[uint64]Report)
	for _, pool := range desk.pools {
		maps.Copy(untold, pool.Untold())
	}
	return untold
}

// Seen takes in how another host's calls ended.
func (desk *Desk) Seen(reports map[uint64]Report) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for endpoint, report := range reports {
		for _, pool := range desk.pools {
			pool.Seen(now, endpoint, report)
		}
	}
}

// End notes how a call ended.
func (desk *Desk) End(service, endpoint string, request *Request, result Result) {
	hash := HashID(endpoint)
	desk.tell(hash, desk.end(service, endpoint, hash, request, result))
	if result.Outcome == Served && desk.tracks(request) {
		desk.trackers.Holds(request.Program, request.Conversation, hash, request.PromptTokens+result.Made)
	}
}

// end returns how many calls this host has left at the endpoint.
func (desk *Desk) end(service, endpoint string, hash uint64, request *Request, result Result) int {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	pool := desk.pool(service)
	pool.End(now, endpoint, result)
	switch result.Outcome {
	case Broken:
		desk.suspects.Broke(now, request.Content, hash)
	case Unreachable, Wrong:
		desk.suspects.Gone(now, hash)
	}
	return pool.RunningAt(hash)
}

// Poisonous reports whether a request has crashed too many endpoints.
func (desk *Desk) Poisonous(content uint64) bool {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.suspects.Poisonous(now, content)
}

// Crashes returns the crashes to tell other hosts.
func (desk *Desk) Crashes() []Crash {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.suspects.Recent(now)
}

// LearnCrash takes in a crash that another host saw.
func (desk *Desk) LearnCrash(crash Crash) {
	now := desk.clock.Now()
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.suspects.Learn(now, crash)
}
