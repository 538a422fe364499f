// Package bvgate decides which request may call which endpoint, and when.
//
// A Pool holds the tables of one pool of endpoints that serve the same model:
// members, endpoints, waiting requests, permits and suspects. One host decides
// for a pool. The pool is told of events by its methods and asked for its
// decisions by Tick; it knows no sockets and no clock, so the daemon, the
// tests and the measurements run the same code.
//
// # Usage
//
//	pool := &bvgate.Pool{}
//	pool.SetMembers(shares)
//	pool.Report(now, bvgate.EndpointReport{Name: "engine-1", Slots: 16})
//	pool.Ask(now, request)
//	for _, effect := range pool.Tick(now) {
//		switch effect := effect.(type) {
//		case bvgate.Grant:
//		case bvgate.Refusal:
//		case bvgate.Release:
//		}
//	}
//	pool.Used(now, request.ID)
//	pool.Finish(now, bvgate.Finish{ID: request.ID, OutputTokens: 120})
package bvgate

import (
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// PermitWindow is how long a permit stays valid before it is used.
const PermitWindow = 2 * bvclock.Second

const releaseInterval = bvclock.Second

// Pool decides for all endpoints of one model or service. The zero value is an
// empty pool. It is not safe for concurrent use.
type Pool struct {
	members   map[string]*member
	endpoints map[string]*endpoint
	names     []string // of the endpoints, sorted
	queue     []*request
	waiting   map[RequestID]*request
	calls     map[RequestID]*call
	granted   map[RequestID]bool // unrepeatable requests
	releases  []*release
	effects   []Effect
}

type member struct {
	share  MemberShare
	queued int
}

type endpoint struct {
	report EndpointReport
	calls  map[RequestID]*call
}

type request struct {
	Request
	askedAt bvclock.Time
}

// call is a request that was granted.
type call struct {
	request  Request
	endpoint string
	expires  bvclock.Time // 0 once used
}

type release struct {
	Release
	incarnation string
	nextAt      bvclock.Time
}

// SetMembers replaces the shares of the members.
func (pool *Pool) SetMembers(shares []MemberShare) {
	for _, share := range shares {
		pool.member(share.Member).share = share
	}
}

func (pool *Pool) member(name string) *member {
	if pool.members == nil {
		pool.members = make(map[string]*member)
	}
	found := pool.members[name]
	if found == nil {
		found = &member{share: MemberShare{Member: name, Weight: 1}}
		pool.members[name] = found
	}
	return found
}

// Report adds an endpoint or updates what is known of it.
func (pool *Pool) Report(now bvclock.Time, report EndpointReport) {
	if pool.endpoints == nil {
		pool.endpoints = make(map[string]*endpoint)
	}
	found := pool.endpoints[report.Name]
	if found == nil {
		found = &endpoint{calls: make(map[RequestID]*call)}
		pool.endpoints[report.Name] = found
		at, _ := slices.BinarySearch(pool.names, report.Name)
		pool.names = slices.Insert(pool.names, at, report.Name)
	}
	if found.report.Incarnation != report.Incarnation {
		found.calls = make(map[RequestID]*call)
		pool.dropReleases(report.Name)
	}
	found.report = report
}

// Remove forgets an endpoint that is gone.
func (pool *Pool) Remove(now bvclock.Time, name string) {
	if pool.endpoints[name] == nil {
		return
	}
	delete(pool.endpoints, name)
	at, _ := slices.BinarySearch(pool.names, name)
	pool.names = slices.Delete(pool.names, at, at+1)
	pool.dropReleases(name)
}

// Ask queues a request; a later Tick grants or refuses it. A request that is
// already queued or granted is left as it is.
func (pool *Pool) Ask(now bvclock.Time, asked Request) {
	if pool.waiting[asked.ID] != nil || pool.calls[asked.ID] != nil {
		return
	}
	if asked.Unrepeatable && pool.granted[asked.ID] {
		pool.refuse(asked.ID, bvverdict.New(bvverdict.MayHaveRun, bvverdict.AlreadySent, "unrepeatable request was granted before"))
		return
	}
	if pool.waiting == nil {
		pool.waiting = make(map[RequestID]*request)
	}
	queued := &request{Request: asked, askedAt: now}
	pool.waiting[asked.ID] = queued
	pool.queue = append(pool.queue, queued)
	pool.member(asked.Member).queued++
}

func (pool *Pool) refuse(id RequestID, err *bvverdict.Error) {
	pool.effects = append(pool.effects, Refusal{Request: id, Err: err})
}

// Withdraw takes back a request that was not granted.
func (pool *Pool) Withdraw(now bvclock.Time, id RequestID) {
	if queued := pool.waiting[id]; queued != nil {
		pool.dequeue(queued)
	}
}

func (pool *Pool) dequeue(queued *request) {
	delete(pool.waiting, queued.ID)
	pool.member(queued.Member).queued--
	pool.queue = slices.DeleteFunc(pool.queue, func(other *request) bool { return other == queued })
}

// Used reports that the owner has begun the call, so that the permit no longer
// lapses. It returns false when the permit is unknown.
func (pool *Pool) Used(now bvclock.Time, id RequestID) bool {
	found := pool.calls[id]
	if found == nil {
		return false
	}
	found.expires = 0
	return true
}

// Finish reports that a granted call has ended.
func (pool *Pool) Finish(now bvclock.Time, finish Finish) {
	found := pool.calls[finish.ID]
	if found == nil {
		return
	}
	pool.end(found)
	if finish.Pause < 0 {
		pool.EndProgram(now, found.request.Member, found.request.Program)
	}
}

func (pool *Pool) end(ended *call) {
	delete(pool.calls, ended.request.ID)
	if at := pool.endpoints[ended.endpoint]; at != nil {
		delete(at.calls, ended.request.ID)
	}
}

// Adopt records a call that already runs, as its owner tells a new deciding
// host after the old one died.
func (pool *Pool) Adopt(now bvclock.Time, running Request, endpoint string) {
	if queued := pool.waiting[running.ID]; queued != nil {
		pool.dequeue(queued)
	}
	if pool.calls[running.ID] != nil {
		return
	}
	pool.begin(&call{request: running, endpoint: endpoint})
}

func (pool *Pool) begin(begun *call) {
	if pool.calls == nil {
		pool.calls = make(map[RequestID]*call)
	}
	pool.calls[begun.request.ID] = begun
	if at := pool.endpoints[begun.endpoint]; at != nil {
		at.calls[begun.request.ID] = begun
	}
	if begun.request.Unrepeatable {
		if pool.granted == nil {
			pool.granted = make(map[RequestID]bool)
		}
		pool.granted[begun.request.ID] = true
	}
}

// EndProgram releases what endpoints cache for a program that has ended.
func (pool *Pool) EndProgram(now bvclock.Time, member, program string) {
	for _, name := range pool.names {
		pool.releases = append(pool.releases, &release{
			Release:     Release{Endpoint: name, Member: member, Program: program},
			incarnation: pool.endpoints[name].report.Incarnation,
			nextAt:      now,
		})
	}
}

// ReleaseDone reports that an endpoint has dropped what it cached for a
// program.
func (pool *Pool) ReleaseDone(now bvclock.Time, endpoint, member, program string) {
	done := Release{Endpoint: endpoint, Member: member, Program: program}
	pool.releases = slices.DeleteFunc(pool.releases, func(other *release) bool { return other.Release == done })
}

func (pool *Pool) dropReleases(endpoint string) {
	pool.releases = slices.DeleteFunc(pool.releases, func(other *release) bool { return other.Endpoint == endpoint })
}

// Tick decides and returns what is to be done. It is called after each event
// and at the time that Next returns.
func (pool *Pool) Tick(now bvclock.Time) []Effect {
	pool.lapse(now)
	pool.refuseLate(now)
	pool.grant(now)
	for _, due := range pool.releases {
		if due.nextAt.After(now) {
			continue
		}
		due.nextAt = now.Add(releaseInterval)
		pool.effects = append(pool.effects, due.Release)
	}
	effects := pool.effects
	pool.effects = nil
	return effects
}

func (pool *Pool) lapse(now bvclock.Time) {
	for _, name := range pool.names {
		for _, granted := range pool.endpoints[name].calls {
			if granted.expires != 0 && !granted.expires.After(now) {
				pool.end(granted)
			}
		}
	}
}

func (pool *Pool) refuseLate(now bvclock.Time) {
	for _, queued := range slices.Clone(pool.queue) {
		if queued.Deadline != 0 && !queued.Deadline.After(now) {
			pool.dequeue(queued)
			pool.refuse(queued.ID, bvverdict.Refuse(bvverdict.DeadlinePassed, "deadline passed in the queue"))
		}
	}
}

func (pool *Pool) grant(now bvclock.Time) {
	for len(pool.queue) > 0 {
		best := pool.choose()
		if best == nil {
			return
		}
		queued := pool.queue[0]
		pool.dequeue(queued)
		granted := &call{request: queued.Request, endpoint: best.report.Name, expires: now.Add(PermitWindow)}
		pool.begin(granted)
		pool.effects = append(pool.effects, Grant{Request: queued.ID, Endpoint: granted.endpoint, Expires: granted.expires})
	}
}

func (pool *Pool) choose() *endpoint {
	var best *endpoint
	for _, name := range pool.names {
		at := pool.endpoints[name]
		if at.report.Leaving || len(at.calls) >= at.report.Slots {
			continue
		}
		if best == nil || len(at.calls) < len(best.calls) {
			best = at
		}
	}
	return best
}

// Next returns when Tick is to be called although nothing happens; 0 means
// never.
func (pool *Pool) Next() bvclock.Time {
	next := bvclock.Time(0)
	earlier := func(at bvclock.Time) {
		if at != 0 && (next == 0 || at.Before(next)) {
			next = at
		}
	}
	for _, granted := range pool.calls {
		earlier(granted.expires)
	}
	for _, queued := range pool.queue {
		earlier(queued.Deadline)
	}
	for _, due := range pool.releases {
		earlier(due.nextAt)
	}
	return next
}

// Snapshot is the state of a pool for status pages.
type Snapshot struct {
	Members   []MemberStatus
	Endpoints []EndpointStatus
}

// MemberStatus is a member's state in a pool.
type MemberStatus struct {
	Member        string
	Queued        int
	Running       int
	EstimatedWait bvclock.Duration
}

// EndpointStatus is an endpoint's state in a pool.
type EndpointStatus struct {
	Name    string
	Running int
	Slots   int
	Leaving bool
}

// Snapshot returns the state, members and endpoints sorted by name.
func (pool *Pool) Snapshot() Snapshot {
	var snapshot Snapshot
	for _, name := range pool.names {
		at := pool.endpoints[name]
		snapshot.Endpoints = append(snapshot.Endpoints, EndpointStatus{
			Name: name, Running: len(at.calls), Slots: at.report.Slots, Leaving: at.report.Leaving,
		})
	}
	running := make(map[string]int)
	for _, granted := range pool.calls {
		running[granted.request.Member]++
	}
	for name, found := range pool.members {
		snapshot.Members = append(snapshot.Members, MemberStatus{Member: name, Queued: found.queued, Running: running[name]})
	}
	slices.SortFunc(snapshot.Members, func(a, b MemberStatus) int {
		if a.Member < b.Member {
			return -1
		}
		return 1
	})
	return snapshot
}
