package bvdispatch

import (
	"maps"
	"sync"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvshare"
	"balsamvalve.example/bvsuspect"
)

// Dispatcher holds the pools of all services. It is safe for concurrent use. Make one with
// NewDispatcher.
type Dispatcher struct {
	clock bvclock.Clock
	seed  uint64
	zone  string

	disabled bvmechanism.Set

	mutex      sync.Mutex
	pools      map[string]*Pool
	placements []Placement // since the last call of TakeLoadReport

	shares bvshare.Shares // of all services together

	trackers Trackers           // nil: none
	observer EndpointObserver   // nil: none
	log      logrus.FieldLogger // nil: none
}

// EndpointObserver is notified of signs that a start of an endpoint has ended, or runs.
type EndpointObserver interface {
	// RecordEndpointLoss reports a sign that it has ended.
	RecordEndpointLoss(endpoint uint64, sign bvsuspect.Sign)
	// RecordRunning reports that it has answered a request that was sent at a time.
	RecordRunning(endpoint uint64, sentAt bvclock.Time)
}

// SetObserver sets the observer of endpoints. It must be called before the first call is
// dispatched.
func (dispatcher *Dispatcher) SetObserver(observer EndpointObserver) { dispatcher.observer = observer }

func (dispatcher *Dispatcher) reportLosses(losses []Loss) {
	for _, loss := range losses {
		dispatcher.reportLoss(loss.Endpoint, loss.Sign)
	}
}

func (dispatcher *Dispatcher) reportLoss(endpoint uint64, sign bvsuspect.Sign) {
	if dispatcher.observer != nil {
		dispatcher.observer.RecordEndpointLoss(endpoint, sign)
	}
}

// Trackers are the hosts that count the calls at endpoints. Endpoints go by the hashes
// of their IDs.
type Trackers interface {
	// QueryRunning asks how many calls the other hosts have at endpoints now. The result
	// has no entry for an endpoint whose count is unknown.
	QueryRunning(endpoints []uint64) map[uint64]int
	// ReportRunning reports how many calls this host has at an endpoint now.
	ReportRunning(endpoint uint64, running int)
	// QueryHolding asks which endpoint has a conversation of a program cached, and how many
	// tokens of it. For an unknown conversation, it is the endpoint of the program's last
	// turn. Answered is false if the tracker did not answer, so that it may know one. Refusal
	// is what the tracker knows of rejections of the program.
	QueryHolding(program, conversation uint64) (endpoint uint64, tokens int, found, answered bool, refusal bvadmission.Refusal)
	// ReportRefusal reports that a program was rejected.
	ReportRefusal(program uint64, refusal bvadmission.Refusal)
	// ReportHolding reports which endpoint has a conversation cached.
	ReportHolding(program, conversation, endpoint uint64, tokens int)
}

// SetTrackers makes decisions query trackers. It must be called before the first call is
// dispatched.
func (dispatcher *Dispatcher) SetTrackers(trackers Trackers) { dispatcher.trackers = trackers }

// Placement is a part of a prompt that was sent to an endpoint.
type Placement struct {
	Endpoint uint64 // hash of its ID
	Part     bvroute.Part
}

// maxPlacements bounds the placements that are reported to other hosts in one interval;
// further ones are not reported.
const maxPlacements = 512

// NewDispatcher returns a Dispatcher without pools.
func NewDispatcher(clock bvclock.Clock, seed uint64, zone string) *Dispatcher {
	return &Dispatcher{clock: clock, seed: seed, zone: zone, pools: make(map[string]*Pool)}
}

// Disable switches mechanisms off, for experiments. It must be called before the first
// call is dispatched.
func (dispatcher *Dispatcher) Disable(mechanisms bvmechanism.Set) { dispatcher.disabled = mechanisms }

// SetEndpoints replaces the list of all endpoints. Services that no longer have an
// endpoint keep an empty pool.
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
		dispatcher.reportLosses(pool.SetEndpoints(byService[service]))
	}
}

// ChangeEndpoints applies changes to the list of all endpoints, at a cost that does not
// grow with the list.
func (dispatcher *Dispatcher) ChangeEndpoints(listed []bvplatform.Endpoint, removed []string) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, name := range removed {
		for _, pool := range dispatcher.pools {
			dispatcher.reportLosses(pool.RemoveEndpoint(name))
		}
	}
	for _, entry := range listed {
		serving := dispatcher.pool(entry.Serves)
		for _, pool := range dispatcher.pools {
			if pool != serving {
				dispatcher.reportLosses(pool.RemoveEndpoint(entry.Name))
			}
		}
		dispatcher.reportLosses(serving.PutEndpoint(entry))
	}
}

func (dispatcher *Dispatcher) pool(service string) *Pool {
	found := dispatcher.pools[service]
	if found == nil {
		found = NewPool(dispatcher.seed, dispatcher.zone)
		found.Disable(dispatcher.disabled)
		found.shares = &dispatcher.shares
		dispatcher.pools[service] = found
	}
	return found
}

// ReadingRates returns the number of prompt tokens that the engines of each service read
// (prefill) in a millisecond. A service of which this host has no sample is missing.
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

// Choose returns the endpoint for a call and counts the call there. Each successful Choose
// must be followed by an EndCall.
func (dispatcher *Dispatcher) Choose(service string, request *Request) (bvplatform.Endpoint, bool) {
	dispatcher.findHolder(request)
	counts := dispatcher.queryPeerCalls(service, request)
	chosen, running, found := dispatcher.beginCall(service, request, counts)
	if found {
		dispatcher.reportRunning(HashID(chosen.ID()), running)
	}
	return chosen, found
}

// HasEarlierTurns reports whether the program's tracker knows of a turn before this one,
// through any host.
func (dispatcher *Dispatcher) HasEarlierTurns(request *Request) bool {
	dispatcher.findHolder(request)
	return request.HeldPrefix != (HeldPrefix{})
}

// MayHaveEarlierTurns reports whether the program may have had turns before this one: its tracker
// knows of one, or did not answer.
func (dispatcher *Dispatcher) MayHaveEarlierTurns(request *Request) bool {
	return dispatcher.HasEarlierTurns(request) || request.holderUnknown
}

// findHolder queries the tracker, once, for the endpoint that has the conversation cached,
// unless it is known.
func (dispatcher *Dispatcher) findHolder(request *Request) {
	if !dispatcher.hasTracker(request) || request.holderQueried || request.HeldPrefix != (HeldPrefix{}) {
		return
	}
	request.holderQueried = true
	endpoint, tokens, found, answered, refusal := dispatcher.trackers.QueryHolding(request.Program, request.Conversation)
	request.holderUnknown, request.Refusal = !answered, refusal
	if found {
		request.HeldPrefix = HeldPrefix{Endpoint: endpoint, Tokens: tokens}
	}
}

// tracks reports whether the request's program has a tracker.
func (dispatcher *Dispatcher) hasTracker(request *Request) bool {
	return dispatcher.trackers != nil && request.Program != 0 && !dispatcher.disabled.Has(bvmechanism.Holders)
}

// queryPeerCalls queries the trackers of the cheapest endpoints for a call. It returns nil
// if no tracker was queried.
func (dispatcher *Dispatcher) queryPeerCalls(service string, request *Request) map[uint64]int {
	if dispatcher.trackers == nil || dispatcher.disabled.Has(bvmechanism.Probes) {
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

// beginCall chooses an endpoint by the counts of the trackers, and counts the call. It
// returns how many calls this host now has at the chosen endpoint.
func (dispatcher *Dispatcher) beginCall(service string, request *Request, counts map[uint64]int) (bvplatform.Endpoint, int, bool) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	pool := dispatcher.pool(service)
	request.PeerCalls = counts
	chosen, found := pool.Choose(now, request)
	if !found {
		return chosen, 0, false
	}
	dispatcher.addPlacements(chosen.ID(), pool.BeginCall(now, chosen.ID(), request))
	return chosen, pool.RunningAt(HashID(chosen.ID())), true
}

// reportRunning reports this host's calls at an endpoint to the endpoint's tracker. It must
// not be called with the lock held: the trackers call this dispatcher.
func (dispatcher *Dispatcher) reportRunning(endpoint uint64, running int) {
	if dispatcher.trackers != nil && !dispatcher.disabled.Has(bvmechanism.Probes) {
		dispatcher.trackers.ReportRunning(endpoint, running)
	}
}

func (dispatcher *Dispatcher) addPlacements(endpoint string, parts []bvroute.Part) {
	for _, part := range parts {
		if len(dispatcher.placements) < maxPlacements {
			dispatcher.placements = append(dispatcher.placements, Placement{Endpoint: HashID(endpoint), Part: part})
		}
	}
}

// TakeLoadReport returns this host's calls in flight, by the hash of the endpoint's ID,
// and the placements since the last report, which it clears.
func (dispatcher *Dispatcher) TakeLoadReport() (map[uint64]int, []Placement) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	running := make(map[uint64]int)
	for _, pool := range dispatcher.pools {
		maps.Copy(running, pool.RunningByEndpoint())
	}
	placements := dispatcher.placements
	dispatcher.placements = nil
	return running, placements
}

// SetPeerLoads sets how many calls the other hosts have at each endpoint, by the hash of
// its ID.
func (dispatcher *Dispatcher) SetPeerLoads(loads map[uint64]int) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, pool := range dispatcher.pools {
		pool.SetPeerLoads(now, loads)
	}
}

// AddPeerPlacements records the parts of prompts that another host sent to endpoints.
func (dispatcher *Dispatcher) AddPeerPlacements(placements []Placement) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, placement := range placements {
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

// RunningAt returns how many calls of this host are in flight at an endpoint, by the
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

// SetLoad sets the load that an endpoint reports.
func (dispatcher *Dispatcher) SetLoad(service, endpoint string, load bvroute.Load) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	pool := dispatcher.pool(service)
	pool.SetLoad(now, endpoint, load)
	if conflict, found := pool.takeSpeedConflict(now, endpoint); found {
		dispatcher.logSpeedConflict(service, conflict)
	}
}

// TakeOutcomeReports returns the outcomes of this host's calls since the last report, by
// the hash of the endpoint's ID, and clears them.
func (dispatcher *Dispatcher) TakeOutcomeReports() map[uint64]OutcomeReport {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	reports := make(map[uint64]OutcomeReport)
	for _, pool := range dispatcher.pools {
		maps.Copy(reports, pool.TakeOutcomeReports(now))
	}
	return reports
}

// AddPeerReports adds the outcomes of another host's calls.
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

// EndCall records the end of a call.
func (dispatcher *Dispatcher) EndCall(service, endpoint string, request *Request, result Result) {
	hash := HashID(endpoint)
	dispatcher.recordOutputWork(service, endpoint, request, result)
	dispatcher.reportRunning(hash, dispatcher.endCall(service, endpoint, hash, result))
	dispatcher.recordTurn(service, request, result)
	if result.Outcome == Served && dispatcher.hasTracker(request) {
		dispatcher.trackers.ReportHolding(request.Program, request.Conversation, hash, request.PromptTokens+result.OutputTokens)
	}
}

// endCall records the end of a call and returns how many calls this host still has at the
// endpoint.
func (dispatcher *Dispatcher) endCall(service, endpoint string, hash uint64, result Result) int {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	pool := dispatcher.pool(service)
	pool.EndCall(now, endpoint, result)
	switch {
	case result.Refused:
		dispatcher.reportLoss(hash, bvsuspect.Refused)
	case result.Outcome == Unreachable:
		dispatcher.reportLoss(hash, bvsuspect.Unreachable)
	case result.Outcome == Wrong:
		dispatcher.reportLoss(hash, bvsuspect.AnotherInstance)
	case (result.Outcome == Served || result.Outcome == Full) && dispatcher.observer != nil:
		dispatcher.observer.RecordRunning(hash, now.Add(-result.Duration))
	}
	return pool.RunningAt(hash)
}
