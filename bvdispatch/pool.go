// Package bvdispatch decides, on each host by itself, which endpoint of a
// service a call goes to.
//
// A Pool holds one service's endpoints as rows: what the platform's list says
// of them, the calls this host has there, the load they told, what they are
// likely to have cached, and how calls ended there lately. It knows no sockets
// and no clock; events go in by its methods and Choose answers.
//
// Beside it, bvgate decides on one host for all others. A gate sees every call
// but costs each call a hop, which fails with that host; here nothing is asked
// of another host before a call is sent. docs/design/platform.md weighs both.
//
// # Usage
//
//	pool := bvdispatch.NewPool(seed, zone)
//	pool.SetEndpoints(now, endpoints)
//	chosen, found := pool.Choose(now, request)
//	pool.BeginCall(now, chosen.ID(), request)
//	pool.EndCall(now, chosen.ID(), bvdispatch.Result{Outcome: bvdispatch.Served, Duration: duration})
package bvdispatch

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvroute"
)

// Request is what a decision needs to know of a call.
type Request struct {
	Prefix       []bvroute.Part // of the prompt; empty for plain services
	PromptTokens int
	Object       uint64          // that the call concerns; 0: none, or it makes no difference
	Excluded     map[string]bool // endpoints that must not be chosen again
	ContentHash  uint64          // what the request is known by when it comes again
	HeldPrefix   HeldPrefix      // where the turn before ran
	Program      uint64          // that the turn belongs to; 0: none
	Conversation uint64          // the line of its turns
	sought       bool            // its tracker was asked
	// Among are the endpoints to choose from, by the hashes of their IDs, with the
	// calls that the other hosts have there now. Nil: all.
	PeerCalls map[uint64]int

	// Set by Choose, for the log: what the decision went by.
	CachedTokens int     // tokens of the prompt that the chosen endpoint is thought to have
	Load         float64 // calls that it is thought to have, from all hosts
}

// HeldPrefix is the part of a prompt that an endpoint has from the turn before. The zero
// value is none.
type HeldPrefix struct {
	Endpoint uint64 // hash of its ID
	Tokens   int    // from the prompt's start
}

// Pool decides for the endpoints of one service. It is not safe for
// concurrent use. Make one with NewPool.
type Pool struct {
	rows     []*endpoint // sorted by name
	byName   map[string]*endpoint
	byHash   map[uint64]*endpoint
	random   *rand.Rand
	duration average // of a call, in milliseconds
	pace     average // of calls, in milliseconds for an event or answer
	reading  reading
	begun    begun
	zone     string // availability zone of this host
	without  bvmechanism.Set

	beginnings      map[uint64]beginning // first parts of prompts, by key
	beginningTokens int

	// For lists that are too long to be compared whole.
	changes int         // of the list
	recent  []*endpoint // that this host called, the last one at the end
	orders  orders
	near    []*endpoint // of this availability zone
	nearOf  int         // changes that it is of
	drawn   []*endpoint
	drawing uint64 // number of the last drawing
}

// NewPool returns an empty pool for a host in an availability zone. The seed
// breaks ties; hosts must differ in it, or all would send to the same endpoint
// at once.
func NewPool(seed uint64, zone string) *Pool {
	return &Pool{
		byName:     make(map[string]*endpoint),
		byHash:     make(map[uint64]*endpoint),
		random:     rand.New(rand.NewPCG(seed, seed)),
		zone:       zone,
		beginnings: make(map[uint64]beginning),
	}
}

// Disable switches mechanisms off, for experiments.
func (pool *Pool) Disable(mechanisms bvmechanism.Set) { pool.without = mechanisms }

// SetEndpoints takes over the platform's list of the service's endpoints. What
// is known of those that stay is kept. An endpoint that has started again has
// another ID: its prompts, calls, failures and load are those of a new one.
// SetEndpoints returns the hashes of the IDs that are replaced by such a start.
func (pool *Pool) SetEndpoints(listed []bvplatform.Endpoint) (replaced []uint64) {
	names := make(map[string]bool, len(listed))
	for _, entry := range listed {
		names[entry.Name] = true
	}
	pool.rows = slices.DeleteFunc(pool.rows, func(row *endpoint) bool {
		if !names[row.entry.Name] {
			pool.forget(row)
		}
		return !names[row.entry.Name]
	})
	var added []*endpoint
	for _, entry := range listed {
		if row := pool.byName[entry.Name]; row != nil {
			replaced = append(replaced, pool.renew(row, entry)...)
			continue
		}
		added = append(added, pool.newRow(entry))
	}
	pool.rows = append(pool.rows, added...)
	slices.SortFunc(pool.rows, func(a, b *endpoint) int { return strings.Compare(a.entry.Name, b.entry.Name) })
	return replaced
}

// PutEndpoint takes over one endpoint's entry, as SetEndpoints does.
func (pool *Pool) PutEndpoint(entry bvplatform.Endpoint) (replaced []uint64) {
	if row := pool.byName[entry.Name]; row != nil {
		return pool.renew(row, entry)
	}
	at, _ := pool.find(entry.Name)
	pool.rows = slices.Insert(pool.rows, at, pool.newRow(entry))
	return nil
}

// RemoveEndpoint takes an endpoint off the list, if it is there.
func (pool *Pool) RemoveEndpoint(name string) {
	row := pool.byName[name]
	if row == nil {
		return
	}
	at, _ := pool.find(name)
	pool.rows = slices.Delete(pool.rows, at, at+1)
	pool.forget(row)
}

func (pool *Pool) find(name string) (at int, found bool) {
	return slices.BinarySearchFunc(pool.rows, name, func(row *endpoint, name string) int {
		return strings.Compare(row.entry.Name, name)
	})
}

func (pool *Pool) newRow(entry bvplatform.Endpoint) *endpoint {
	row := &endpoint{}
	pool.identify(row, entry)
	return row
}

// renew takes over a newer entry of an endpoint. One that has started again keeps
// nothing but its place.
func (pool *Pool) renew(row *endpoint, entry bvplatform.Endpoint) (replaced []uint64) {
	if HashID(entry.ID()) == row.hash {
		row.entry = entry
		return nil
	}
	replaced = append(replaced, row.hash)
	pool.forget(row)
	*row = endpoint{}
	pool.identify(row, entry)
	return replaced
}

func (pool *Pool) identify(row *endpoint, entry bvplatform.Endpoint) {
	row.entry, row.hash = entry, HashID(entry.ID())
	pool.listChanged(nil)
	pool.byName[entry.Name], pool.byHash[row.hash] = row, row
}

// forget drops a row from all indexes.
func (pool *Pool) forget(row *endpoint) {
	delete(pool.byName, row.entry.Name)
	delete(pool.byHash, row.hash)
	pool.listChanged(row)
}

// byID returns an endpoint's row, or nil.
func (pool *Pool) byID(id string) *endpoint { return pool.byHash[HashID(id)] }

// HashID names a start of an endpoint to other hosts, by its ID. What they tell of
// an earlier start thus never counts for this one, however late it comes.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// Len returns how many endpoints are listed.
func (pool *Pool) Len() int { return len(pool.rows) }

// BeginCall notes that a call is sent to an endpoint. It returns the parts of its
// prompt that are new there.
func (pool *Pool) BeginCall(now bvclock.Time, id string, request *Request) []bvroute.Part {
	pool.noteBeginning(now, request)
	row := pool.byID(id)
	if row == nil {
		return nil
	}
	row.running++
	pool.noteRecent(row)
	return row.cache.use(request.Prefix, row.entry.CacheTokens)
}

// SetPeerLoads takes over how many calls the other hosts have at the endpoints
// together, by the hash of the endpoint's ID.
func (pool *Pool) SetPeerLoads(now bvclock.Time, loads map[uint64]int) {
	for _, row := range pool.rows {
		row.peers, row.peersAt = loads[row.hash], now
	}
}

// AddPeerPlacement notes parts of prompts that another host sent to an endpoint.
func (pool *Pool) AddPeerPlacement(endpoint uint64, parts []bvroute.Part) {
	if row := pool.byHash[endpoint]; row != nil {
		row.cache.use(parts, row.entry.CacheTokens)
	}
}

// RunningByEndpoint returns this host's calls under way, by the hash of the endpoint's
// ID.
func (pool *Pool) RunningByEndpoint() map[uint64]int {
	running := make(map[uint64]int)
	for _, row := range pool.rows {
		if row.running > 0 {
			running[row.hash] = row.running
		}
	}
	return running
}

// RunningAt returns how many calls of this host are under way at an endpoint, by the
// hash of its ID.
func (pool *Pool) RunningAt(endpoint uint64) int {
	if row := pool.byHash[endpoint]; row != nil {
		return row.running
	}
	return 0
}

// EndCall notes how a call ended.
func (pool *Pool) EndCall(now bvclock.Time, id string, result Result) {
	row := pool.byID(id)
	if row == nil {
		return
	}
	row.running = max(row.running-1, 0)
	row.endedAt = now
	row.health.judge(now, result.Outcome)
	report := reportOf(result)
	row.seen.add(now, report)
	row.unshared.add(report)
	if result.Outcome != Served {
		return
	}
	pool.duration.add(float64(result.Duration))
	if result.Pace > 0 {
		pool.pace.add(float64(result.Pace))
	}
	if result.TimeToFirstEvent > 0 {
		pool.reading.add(result.UncachedTokens, result.TimeToFirstEvent)
	}
}

// ReadingRate returns how many prompt tokens the engines read in a millisecond, as
// far as this host has learnt.
func (pool *Pool) ReadingRate() float64 {
	if pool.without.Has(bvmechanism.ReadingRate) {
		return startRate
	}
	return pool.reading.tokensPerMillisecond()
}

// AddPeerReport takes in another host's report, by the hash of the endpoint's ID.
func (pool *Pool) AddPeerReport(now bvclock.Time, endpoint uint64, report OutcomeReport) {
	if row := pool.byHash[endpoint]; row != nil {
		row.seen.add(now, report)
	}
}

// TakeOutcomeReports returns how this host's calls ended since the last look, by the hash of
// the endpoint's ID.
func (pool *Pool) TakeOutcomeReports() map[uint64]OutcomeReport {
	unshared := make(map[uint64]OutcomeReport)
	for _, row := range pool.rows {
		if row.unshared != (OutcomeReport{}) {
			unshared[row.hash] = row.unshared
			row.unshared = OutcomeReport{}
		}
	}
	return unshared
}

// SetLoad takes over the load that an endpoint reports.
func (pool *Pool) SetLoad(now bvclock.Time, id string, load bvroute.Load) {
	row := pool.byID(id)
	if row == nil {
		return
	}
	row.toldAt = now
	row.others = max(load.Running+load.Waiting-row.running, 0)
	if load.Slots > 0 {
		row.entry.Slots = load.Slots
	}
}

// average is a moving average that follows within some tens of values.
type average struct {
	value float64
	known bool
}

const averageWeight = 0.05 // of a new value: about the last 20 count

func (average *average) add(value float64) {
	if !average.known {
		average.value, average.known = value, true
		return
	}
	average.value += averageWeight * (value - average.value)
}

func (average *average) or(other float64) float64 {
	if !average.known {
		return other
	}
	return average.value
}
