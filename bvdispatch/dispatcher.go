package bvdispatch

import (
	"maps"
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// Dispatcher holds the pools of all services for a daemon whose calls run side by
// side. Make one with NewDispatcher.
type Dispatcher struct {
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
	// QueryRunning asks how many calls the other hosts have at endpoints now. Endpoints of
	// which it is not known are missing.
	QueryRunning(endpoints []uint64) map[uint64]int
	// ReportRunning tells how many calls this host has at an endpoint now.
	ReportRunning(endpoint uint64, running int)
	// QueryHolding asks which endpoint has a conversation of a program, and how many tokens of
	// it. A conversation that is not known is where the program's last turn was.
	QueryHolding(program, conversation uint64) (endpoint uint64, tokens int, found bool)
	// ReportHolding tells which endpoint has a conversation.
	ReportHolding(program, conversation, endpoint uint64, tokens int)
}

// SetTrackers lets decisions ask trackers. It is called before the first call.
func (dispatcher *Dispatcher) SetTrackers(trackers Trackers) { dispatcher.trackers = trackers }

// Placement is a part of a prompt that an endpoint was sent.
type Placement struct {
	Endpoint uint64 // hash of its ID
	Part     bvroute.Part
}

// maxPlaced bounds what is kept to tell other hosts; more than that in one
// interval is not told.
const maxPlaced = 512

// NewDispatcher returns a Dispatcher without pools.
func NewDispatcher(clock bvclock.Clock, seed uint64, zone string) *Dispatcher {
	return &Dispatcher{clock: clock, seed: seed, zone: zone, pools: make(map[string]*Pool)}
}

// Disable switches mechanisms off, for experiments. It is called before the first
// call.
func (dispatcher *Dispatcher) Disable(mechanisms bvmechanism.Set) { dispatcher.without = mechanisms }

// SetEndpoints takes over the list of all endpoints. Services that have no
// endpoint any more keep an empty pool.
func (dispatcher *Dispatcher) SetEndpoints(listed []bvplatform.Endpoint) {
	byService := make(map[string][]bvplatform.Endpoint)
	for _, endpoint := range listed {
		byService[endpoint.Serves] = append(byService[endpoint.Serves], endpoint)
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for service := range byService {
		dispatcher.pool(service)
	}
	for service, pool := range dispatcher.pools {
		for _, replaced := range pool.SetEndpoints(byService[service]) {
			dispatcher.suspects.RecordEndpointLoss(dispatcher.clock.Now(), replaced) // whatever ran there may have crashed it
		}
	}
}

// ChangeEndpoints takes over what changed on the list of all endpoints, at a cost that
// does not grow with the list.
func (dispatcher *Dispatcher) ChangeEndpoints(listed []bvplatform.Endpoint, gone []string) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, name := range gone {
		for _, pool := range dispatcher.pools {
			pool.RemoveEndpoint(name)
		}
	}
	for _, entry := range listed {
		serving := dispatcher.pool(entry.Serves)
		for _, pool := range dispatcher.pools {
			if pool != serving {
				pool.RemoveEndpoint(entry.Name)
			}
		}
		for _, replaced := range serving.PutEndpoint(entry) {
			dispatcher.suspects.RecordEndpointLoss(now, replaced)
		}
	}
}

func (dispatcher *Dispatcher) pool(service string) *Pool {
	found := dispatcher.pools[service]
	if found == nil {
		found = NewPool(dispatcher.seed, dispatcher.zone)
		found.Disable(dispatcher.without)
		dispatcher.pools[service] = found
	}
	return found
}

// Admit reports whether a new program may begin at a service. If not, it returns
// the time after which to come back.
func (dispatcher *Dispatcher) Admit(service string, newcomer NewProgram) (bvclock.Duration, bool) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.pool(service).Admit(now, newcomer)
}

// ReadingRates returns how many prompt tokens the engines of each service read in a
// millisecond, as far as this host has learnt.
func (dispatcher *Dispatcher) ReadingRates() map[string]float64 {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	rates := make(map[string]float64)
	for service, pool := range dispatcher.pools {
		if pool.reading.count > 0 {
			rates[service] = pool.ReadingRate()
		}
	}
	return rates
}

// Choose returns the endpoint for a call and counts the call there. Each is to
// be followed by an End.
func (dispatcher *Dispatcher) Choose(service string, request *Request) (bvplatform.Endpoint, bool) {
	dispatcher.findHolder(request)
	counts := dispatcher.countsFor(service, request)
	chosen, running, found := dispatcher.begin(service, request, counts)
	if found {
		dispatcher.tell(HashID(chosen.ID()), running)
	}
	return chosen, found
}

// HasEarlierTurns reports whether a turn's program had turns before this one, through whatever
// host, as far as its tracker knows.
func (dispatcher *Dispatcher) HasEarlierTurns(request *Request) bool {
	dispatcher.findHolder(request)
	return request.HeldPrefix != (HeldPrefix{})
}

// findHolder asks which endpoint has the conversation, once, unless that is known.
func (dispatcher *Dispatcher) findHolder(request *Request) {
	if !dispatcher.tracks(request) || request.sought || request.HeldPrefix != (HeldPrefix{}) {
		return
	}
	request.sought = true
	if endpoint, tokens, found := dispatcher.trackers.QueryHolding(request.Program, request.Conversation); found {
		request.HeldPrefix = HeldPrefix{Endpoint: endpoint, Tokens: tokens}
	}
}

// tracks reports whether the request's program has a tracker.
func (dispatcher *Dispatcher) tracks(request *Request) bool {
	return dispatcher.trackers != nil && request.Program != 0 && !dispatcher.without.Has(bvmechanism.Holders)
}

// countsFor asks the trackers of the endpoints that look best for a call. It returns
// nil where nothing was asked.
func (dispatcher *Dispatcher) countsFor(service string, request *Request) map[uint64]int {
	if dispatcher.trackers == nil || dispatcher.without.Has(bvmechanism.Probes) {
		return nil
	}
	shortlist := dispatcher.shortlist(service, request)
	if len(shortlist) < 2 {
		return nil // there is no choice
	}
	return dispatcher.trackers.QueryRunning(shortlist)
}

func (dispatcher *Dispatcher) shortlist(service string, request *Request) []uint64 {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	pool := dispatcher.pool(service)
	if !pool.NeedsPeerCalls(now) {
		return nil
	}
	return pool.Shortlist(now, request)
}

// begin decides by what trackers told, and counts the call. It returns how many calls
// this host has at the chosen endpoint with it.
func (dispatcher *Dispatcher) begin(service string, request *Request, counts map[uint64]int) (bvplatform.Endpoint, int, bool) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	pool := dispatcher.pool(service)
	request.PeerCalls = counts
	chosen, found := pool.Choose(now, request)
	if !found {
		return chosen, 0, false
	}
	dispatcher.note(chosen.ID(), pool.BeginCall(now, chosen.ID(), request))
	return chosen, pool.RunningAt(HashID(chosen.ID())), true
}

// tell tells an endpoint's tracker of this host's calls there. It must not be called
// with the lock held: the trackers ask this dispatcher in turn.
func (dispatcher *Dispatcher) tell(endpoint uint64, running int) {
	if dispatcher.trackers != nil && !dispatcher.without.Has(bvmechanism.Probes) {
		dispatcher.trackers.ReportRunning(endpoint, running)
	}
}

func (dispatcher *Dispatcher) note(endpoint string, parts []bvroute.Part) {
	for _, part := range parts {
		if len(dispatcher.placed) < maxPlaced {
			dispatcher.placed = append(dispatcher.placed, Placement{Endpoint: HashID(endpoint), Part: part})
		}
	}
}

// TakeLoadReport returns this host's calls under way, by the hash of the endpoint's
// name, and what was placed since the last report.
func (dispatcher *Dispatcher) TakeLoadReport() (map[uint64]int, []Placement) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	running := make(map[uint64]int)
	for _, pool := range dispatcher.pools {
		maps.Copy(running, pool.RunningByEndpoint())
	}
	placed := dispatcher.placed
	dispatcher.placed = nil
	return running, placed
}

// SetPeerLoads takes over how many calls the other hosts have at each endpoint,
// by the hash of its ID.
func (dispatcher *Dispatcher) SetPeerLoads(loads map[uint64]int) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, pool := range dispatcher.pools {
		pool.SetPeerLoads(now, loads)
	}
}

// AddPeerPlacements takes in what another host sent.
func (dispatcher *Dispatcher) AddPeerPlacements(placed []Placement) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, placement := range placed {
		for _, pool := range dispatcher.pools {
			pool.AddPeerPlacement(placement.Endpoint, []bvroute.Part{placement.Part})
		}
	}
}

// ZoneOf returns the availability zone of an endpoint by the hash of its ID, or
// "" where it is not listed.
func (dispatcher *Dispatcher) ZoneOf(endpoint uint64) string {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, pool := range dispatcher.pools {
		if row := pool.byHash[endpoint]; row != nil {
			return row.entry.Zone
		}
	}
	return ""
}

// RunningAt returns how many calls of this host are under way at an endpoint, by the
// hash of its ID.
func (dispatcher *Dispatcher) RunningAt(endpoint uint64) int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, pool := range dispatcher.pools {
		if running := pool.RunningAt(endpoint); running > 0 {
			return running
		}
	}
	return 0
}

// SetLoad takes over the load that an endpoint reports.
func (dispatcher *Dispatcher) SetLoad(service, endpoint string, load bvroute.Load) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.pool(service).SetLoad(now, endpoint, load)
}

// TakeOutcomeReports returns how this host's calls ended since the last look, by the hash of
// the endpoint's ID.
func (dispatcher *Dispatcher) TakeOutcomeReports() map[uint64]OutcomeReport {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	unshared := make(map[uint64]OutcomeReport)
	for _, pool := range dispatcher.pools {
		maps.Copy(unshared, pool.TakeOutcomeReports())
	}
	return unshared
}

// AddPeerReports takes in how another host's calls ended.
func (dispatcher *Dispatcher) AddPeerReports(reports map[uint64]OutcomeReport) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for endpoint, report := range reports {
		for _, pool := range dispatcher.pools {
			pool.AddPeerReport(now, endpoint, report)
		}
	}
}

// EndCall notes how a call ended.
func (dispatcher *Dispatcher) EndCall(service, endpoint string, request *Request, result Result) {
	hash := HashID(endpoint)
	dispatcher.tell(hash, dispatcher.end(service, endpoint, hash, request, result))
	if result.Outcome == Served && dispatcher.tracks(request) {
		dispatcher.trackers.ReportHolding(request.Program, request.Conversation, hash, request.PromptTokens+result.OutputTokens)
	}
}

// end returns how many calls this host has left at the endpoint.
func (dispatcher *Dispatcher) end(service, endpoint string, hash uint64, request *Request, result Result) int {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	pool := dispatcher.pool(service)
	pool.EndCall(now, endpoint, result)
	switch result.Outcome {
	case Broken:
		dispatcher.suspects.RecordBrokenCall(now, request.ContentHash, hash)
	case Unreachable, Wrong:
		dispatcher.suspects.RecordEndpointLoss(now, hash)
	}
	return pool.RunningAt(hash)
}

// IsPoisonous reports whether a request has crashed too many endpoints.
func (dispatcher *Dispatcher) IsPoisonous(content uint64) bool {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.suspects.IsPoisonous(now, content)
}

// RecentCrashes returns the crashes to tell other hosts.
func (dispatcher *Dispatcher) RecentCrashes() []Crash {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.suspects.RecentCrashes(now)
}

// AddPeerCrash takes in a crash that another host saw.
func (dispatcher *Dispatcher) AddPeerCrash(crash Crash) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.suspects.RecordCrash(now, crash)
}
