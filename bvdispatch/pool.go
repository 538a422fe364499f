// Package bvdispatch chooses, independently on each host, the endpoint of a service that a
// call is sent to.
//
// A Pool holds one service's endpoints as rows: each endpoint's entry on the platform's
// list, this host's calls there, the load that the endpoint reported, the prompts that it
// probably has cached, and the outcomes of recent calls. It uses no sockets and no clock:
// callers pass events and the time to its methods.
//
// The alternative, bvgate, decides on one host for all others. A gate sees every call but
// costs each call a hop, which fails with that host; here no single host has to answer
// before a call is sent. docs/design/platform.md compares both.
//
// # Usage
//
//	pool := bvdispatch.NewPool(seed, zone)
//	pool.SetEndpoints(endpoints)
//	chosen, found := pool.Choose(now, request)
//	pool.BeginCall(now, chosen.ID(), request)
//	pool.EndCall(now, chosen.ID(), bvdispatch.Result{Outcome: bvdispatch.Served, Duration: duration})
package bvdispatch

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
	"balsamvalve.example/bvshare"
	"balsamvalve.example/bvsuspect"
)

// Request describes a call to the dispatcher.
type Request struct {
	Prefix        []bvroute.Part // of the prompt; empty for plain services
	PromptTokens  int
	Object        uint64          // that the call concerns; 0: none, or it makes no difference
	Excluded      map[string]bool // endpoints that must not be chosen again
	Pinned        bool            // only endpoints of Version may be chosen
	Version       string          // software version of the endpoints; used if Pinned
	Tool          bool            // the service has no model engines
	Once          bool            // must not run twice
	StartsStream  bool            // may be resumed later, at endpoints of the same version only
	Unstored      map[string]bool // versions at which a stream has to wait for the platform's store
	HeldPrefix    HeldPrefix      // where the previous turn ran
	Program       uint64          // that the turn belongs to; 0: none
	Conversation  uint64          // sequence of the program's turns that this one continues
	Workspace     string          // that the work counts for; "": none
	holderQueried bool            // the program's tracker was queried
	holderUnknown bool            // it did not answer
	tool          toolCall
	// PeerCalls holds the calls that the other hosts have now at the endpoints to choose
	// from, by the hashes of their IDs. Nil: choose from all.
	PeerCalls map[uint64]int

	// Set by Choose, for the log: estimates for the chosen endpoint.
	CachedTokens int     // tokens of the prompt that it has cached
	Load         float64 // its calls from all hosts

	ProgramEnd bvclock.Time        // when the program should have ended; 0: unspecified
	Refusal    bvadmission.Refusal // of the program, as its tracker knows
	LoadShare  float64             // set by Choose: calls as a share of the slots of all endpoints
}

// HeldPrefix is the part of a prompt that an endpoint has cached from the previous turn.
// The zero value is none.
type HeldPrefix struct {
	Endpoint uint64 // hash of its ID
	Tokens   int    // from the prompt's start
}

// Pool chooses among the endpoints of one service. It is not safe for concurrent use. Make
// one with NewPool.
type Pool struct {
	rows            []*endpoint // sorted by name
	byName          map[string]*endpoint
	byHash          map[uint64]*endpoint
	random          *rand.Rand
	duration        average // of a call, in milliseconds
	pace            average // of calls, in milliseconds per event or answer
	reading         readingEstimator
	speeds          serviceSpeeds
	startedPrograms programCounts
	shares          *bvshare.Shares
	zone            string // availability zone of this host
	disabled        bvmechanism.Set
	tools           toolRules

	versions map[string]versionCount // of the endpoints' software

	prefixes     map[uint64]prefixUse // first parts of prompts, by key
	prefixTokens int

	// Used for lists of more than maxScannedRows.
	revision         int         // of the list
	recent           []*endpoint // that this host called, the latest at the end
	orders           orderCache
	zoneRows         []*endpoint // in this host's availability zone
	zoneRowsRevision int         // of the list that zoneRows was derived from
	candidateRows    []*endpoint // of the last decision
	candidateRound   uint64      // number of the last decision

	controller  bvadmission.Controller
	reportsPace bool // an endpoint of the service has reported a pace
}

// NewPool returns an empty pool for a host in an availability zone. The seed
// breaks ties; hosts must differ in it, or all would send to the same endpoint
// at once.
func NewPool(seed uint64, zone string) *Pool {
	return &Pool{
		byName:   make(map[string]*endpoint),
		byHash:   make(map[uint64]*endpoint),
		random:   rand.New(rand.NewPCG(seed, seed)),
		zone:     zone,
		prefixes: make(map[uint64]prefixUse),
		versions: make(map[string]versionCount),
		shares:   &bvshare.Shares{},
	}
}

// Disable switches mechanisms off, for experiments.
func (pool *Pool) Disable(mechanisms bvmechanism.Set) { pool.disabled = mechanisms }

// SetEndpoints replaces the list of the service's endpoints by the platform's. Endpoints
// that stay on it keep their state. An endpoint that has restarted has another ID: its
// cached prompts, calls, failures and load start from zero. SetEndpoints returns the
// endpoints that are lost by it.
func (pool *Pool) SetEndpoints(listed []bvplatform.Endpoint) (lost []Loss) {
	isListed := make(map[string]bool, len(listed))
	for _, entry := range listed {
		isListed[entry.Name] = true
	}
	pool.rows = slices.DeleteFunc(pool.rows, func(row *endpoint) bool {
		if !isListed[row.entry.Name] {
			lost = append(lost, lossByRemoval(row)...)
			pool.unindexRow(row)
		}
		return !isListed[row.entry.Name]
	})
	var added []*endpoint
	for _, entry := range listed {
		if row := pool.byName[entry.Name]; row != nil {
			lost = append(lost, pool.updateRow(row, entry)...)
			continue
		}
		added = append(added, pool.newRow(entry))
	}
	pool.rows = append(pool.rows, added...)
	slices.SortFunc(pool.rows, func(a, b *endpoint) int { return strings.Compare(a.entry.Name, b.entry.Name) })
	return lost
}

// PutEndpoint adds or updates one endpoint's entry, as SetEndpoints does.
func (pool *Pool) PutEndpoint(entry bvplatform.Endpoint) (lost []Loss) {
	if row := pool.byName[entry.Name]; row != nil {
		return pool.updateRow(row, entry)
	}
	at, _ := pool.find(entry.Name)
	pool.rows = slices.Insert(pool.rows, at, pool.newRow(entry))
	return nil
}

// RemoveEndpoint removes an endpoint from the list, if it is listed.
func (pool *Pool) RemoveEndpoint(name string) (lost []Loss) {
	row := pool.byName[name]
	if row == nil {
		return nil
	}
	at, _ := pool.find(name)
	pool.rows = slices.Delete(pool.rows, at, at+1)
	pool.unindexRow(row)
	return lossByRemoval(row)
}

// Loss is the end of a start of an endpoint, as the list shows it.
type Loss struct {
	Endpoint uint64 // hash of its ID
	Sign     bvsuspect.Sign
}

// lossByRemoval returns the loss of a removed endpoint. An endpoint that has reported that it
// leaves is not lost.
func lossByRemoval(row *endpoint) []Loss {
	if row.entry.State != bvplatform.HostLive {
		return nil
	}
	return []Loss{{row.hash, bvsuspect.Removed}}
}

func (pool *Pool) find(name string) (at int, found bool) {
	return slices.BinarySearchFunc(pool.rows, name, func(row *endpoint, name string) int {
		return strings.Compare(row.entry.Name, name)
	})
}

func (pool *Pool) newRow(entry bvplatform.Endpoint) *endpoint {
	row := &endpoint{}
	pool.setIdentity(row, entry)
	return row
}

// updateRow updates an endpoint's entry. A restarted endpoint loses its state and keeps
// only its position in the list.
func (pool *Pool) updateRow(row *endpoint, entry bvplatform.Endpoint) []Loss {
	if HashID(entry.ID()) == row.hash {
		pool.countVersion(row.entry, -1)
		pool.countVersion(entry, 1)
		row.entry = entry
		return nil
	}
	lost := []Loss{{row.hash, bvsuspect.Restarted}}
	pool.unindexRow(row)
	*row = endpoint{}
	pool.setIdentity(row, entry)
	return lost
}

func (pool *Pool) setIdentity(row *endpoint, entry bvplatform.Endpoint) {
	row.entry, row.hash = entry, HashID(entry.ID())
	pool.invalidateCaches(nil)
	pool.countVersion(entry, 1)
	pool.byName[entry.Name], pool.byHash[row.hash] = row, row
}

// unindexRow removes a row from all indexes.
func (pool *Pool) unindexRow(row *endpoint) {
	delete(pool.byName, row.entry.Name)
	delete(pool.byHash, row.hash)
	pool.countVersion(row.entry, -1)
	pool.resetSpeed(row)
	pool.invalidateCaches(row)
}

// byID returns an endpoint's row, or nil.
func (pool *Pool) byID(id string) *endpoint { return pool.byHash[HashID(id)] }

// HashID returns the hash of an endpoint's ID, which identifies it between hosts. The ID
// differs with each start, so late reports on an earlier start never count for this one.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Len returns how many endpoints are listed.
func (pool *Pool) Len() int { return len(pool.rows) }

// BeginCall records that a call is sent to an endpoint. It returns the parts of its
// prompt that are new there.
func (pool *Pool) BeginCall(now bvclock.Time, id string, request *Request) []bvroute.Part {
	pool.recordPrefix(now, request)
	row := pool.byID(id)
	if row == nil {
		return nil
	}
	row.running++
	pool.recordPromptWork(now, request)
	pool.recordRecent(row)
	return row.cache.recordPrompt(request.Prefix, row.entry.CacheTokens)
}

// SetPeerLoads sets how many calls all other hosts together have at each endpoint, by the
// hash of the endpoint's ID.
func (pool *Pool) SetPeerLoads(now bvclock.Time, loads map[uint64]int) {
	for _, row := range pool.rows {
		row.peerCalls, row.peerCallsAt = loads[row.hash], now
	}
}

// AddPeerPlacement records parts of prompts that another host sent to an endpoint.
func (pool *Pool) AddPeerPlacement(endpoint uint64, parts []bvroute.Part) {
	if row := pool.byHash[endpoint]; row != nil {
		row.cache.recordPrompt(parts, row.entry.CacheTokens)
	}
}

// RunningByEndpoint returns this host's calls in flight, by the hash of the endpoint's ID.
func (pool *Pool) RunningByEndpoint() map[uint64]int {
	running := make(map[uint64]int)
	for _, row := range pool.rows {
		if row.running > 0 {
			running[row.hash] = row.running
		}
	}
	return running
}

// RunningAt returns how many calls of this host are in flight at an endpoint, by the
// hash of its ID.
func (pool *Pool) RunningAt(endpoint uint64) int {
	if row := pool.byHash[endpoint]; row != nil {
		return row.running
	}
	return 0
}

// EndCall records the end of a call.
func (pool *Pool) EndCall(now bvclock.Time, id string, result Result) {
	row := pool.byID(id)
	if row == nil {
		return
	}
	row.running = max(row.running-1, 0)
	row.lastCallEnd = now
	if !pool.recordToolEnd(now, row, result.Outcome) {
		row.health.recordOutcome(now, result.Outcome)
	}
	report := reportFrom(result)
	row.stats.add(now, report)
	row.unsharedReport.add(report)
	pool.recordPace(now, row, report, result.ReportedPace)
	if result.Outcome != Served {
		return
	}
	speed := pool.speedOf(now, row)
	pool.duration.add(float64(result.Duration) / speed)
	if result.Pace > 0 {
		pool.pace.add(float64(result.Pace))
	}
	if result.TimeToFirstEvent > 0 {
		pool.reading.add(result.UncachedTokens, bvclock.Duration(float64(result.TimeToFirstEvent)/speed))
	}
}

// ReadingRate returns the number of prompt tokens that engines of usual speed read in a
// millisecond, as estimated from this host's calls.
func (pool *Pool) ReadingRate() float64 {
	if pool.disabled.Has(bvmechanism.ReadingRate) {
		return defaultReadingRate
	}
	return pool.reading.tokensPerMillisecond()
}

// AddPeerReport adds another host's report on an endpoint, by the hash of its ID.
func (pool *Pool) AddPeerReport(now bvclock.Time, endpoint uint64, report OutcomeReport) {
	if row := pool.byHash[endpoint]; row != nil {
		row.stats.add(now, report)
		pool.setPace(now, now.Add(-maxSharedPaceAge), row, report.ReportedPace, false)
		pool.recordPace(now, row, report, report.ReportedPace)
	}
}

// TakeOutcomeReports returns the outcomes of this host's calls since the last report, by
// the hash of the endpoint's ID, and clears them.
func (pool *Pool) TakeOutcomeReports(now bvclock.Time) map[uint64]OutcomeReport {
	reports := make(map[uint64]OutcomeReport)
	for _, row := range pool.rows {
		row.unsharedReport.ReportedPace = row.sharedPace(now)
		if row.unsharedReport != (OutcomeReport{}) {
			reports[row.hash] = row.unsharedReport
			row.unsharedReport = OutcomeReport{}
		}
	}
	return reports
}

// SetLoad sets the load that an endpoint reports. A report that this host received before
// the last one is ignored.
func (pool *Pool) SetLoad(now bvclock.Time, id string, load bvroute.Load) {
	row := pool.byID(id)
	if row == nil || now.Before(row.reportedAt) {
		return
	}
	row.reportedAt = now
	pool.reportsPace = pool.reportsPace || load.Pace > 0
	pool.setPace(now, now, row, load.Pace, true)
	pool.recordToolPace(now, load.Pace)
	row.reportedOthers = max(load.Running+load.Waiting-row.running, 0)
	if load.Slots > 0 {
		row.entry.Slots = load.Slots
	}
}

// average is an exponential moving average over some tens of values.
type average struct {
	value    float64
	hasValue bool
}

const averageWeight = 0.05 // of a new value: about the last 20 values count

func (average *average) add(value float64) {
	if !average.hasValue {
		average.value, average.hasValue = value, true
		return
	}
	average.value += averageWeight * (value - average.value)
}

func (average *average) valueOr(other float64) float64 {
	if !average.hasValue {
		return other
	}
	return average.value
}
