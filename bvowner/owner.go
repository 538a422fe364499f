// Package bvowner runs the programs that this host owns. It feeds calls and outcomes into
// a bvledger.Ledger and carries out the ledger's effects: it reads and writes rows, starts
// calls, answers callers and releases caches.
//
// # Usage
//
//	owner := bvowner.New(incarnation, bvowner.Parts{Clock: clock, Store: store, ...})
//	err := owner.Run(ctx, call, send)
package bvowner

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvendpoint"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvpermit"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvtable"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// Permits grants calls to endpoints.
type Permits interface {
	Acquire(ctx context.Context, ask *bvpeer.PermitAsk) (*bvpermit.Permit, error)
	Adopt(ctx context.Context, ask *bvpeer.PermitAsk, endpoint, address string) *bvpermit.Permit
	EndProgram(ctx context.Context, pool, member, program string)
}

// Endpoints calls model engines and plain services.
type Endpoints interface {
	Chat(ctx context.Context, address string, call bvendpoint.ChatCall, onToken func(offset int, text string) error) (bvendpoint.ChatResult, error)
	Resume(ctx context.Context, address string, call bvendpoint.ChatCall, onToken func(offset int, text string) error) (bvendpoint.ChatResult, error)
	Invoke(ctx context.Context, address string, call bvendpoint.ServiceCall) (bvendpoint.ServiceResult, error)
	Release(ctx context.Context, address, salt, prefix string) error
}

// Table is the operators' table in force on this host.
type Table interface {
	// Row returns the row of a call, or a refusal if the call has no row.
	Row(member, class string) (bvtable.Row, error)
}

// EndpointList finds endpoints by name.
type EndpointList interface {
	Endpoint(name string) (bvplatform.Endpoint, bool)
	// Engines returns the names of all model engines.
	Engines() []string
	// IsGone reports whether an endpoint has been removed and all data on it is lost.
	IsGone(name string) bool
}

// Parts are the dependencies of an owner.
type Parts struct {
	Clock        bvclock.Clock
	Store        bvplatform.Store
	Committer    Committer
	Permits      Permits
	Endpoints    Endpoints
	EndpointList EndpointList
	Table        Table
	Log          logrus.FieldLogger
	Metrics      Metrics // may be nil
}

// Owner runs programs. It is safe for concurrent use.
type Owner struct {
	parts    Parts
	metrics  Metrics
	mutex    sync.Mutex
	ledger   *bvledger.Ledger
	sessions map[bvledger.CallID]*session
	lastCall bvledger.CallID
	alarm    bvclock.Timer
	leaving  bool

	latencies latencies
}

// New returns an owner; incarnation is unique to this process.
func New(incarnation string, parts Parts) *Owner {
	metrics := parts.Metrics
	if metrics == nil {
		metrics = noMetrics{}
	}
	return &Owner{
		parts:    parts,
		metrics:  metrics,
		ledger:   bvledger.New(incarnation),
		sessions: make(map[bvledger.CallID]*session),
	}
}

// apply applies an event to the ledger and carries out the resulting effects.
func (owner *Owner) apply(event func(now bvclock.Time)) {
	for _, effect := range owner.tick(event) {
		owner.execute(effect)
	}
}

// tick passes an event to the ledger and returns the effects to execute.
func (owner *Owner) tick(event func(now bvclock.Time)) []bvledger.Effect {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	now := owner.parts.Clock.Now()
	event(now)
	effects := owner.ledger.Tick(now)
	owner.schedule(now)
	return effects
}

// schedule sets the alarm for the next tick that is due without an event.
func (owner *Owner) schedule(now bvclock.Time) {
	next, ok := owner.ledger.Next()
	if !ok {
		owner.alarm.Stop()
		return
	}
	owner.alarm.Set(now, next, func() { owner.apply(func(bvclock.Time) {}) })
}

func (owner *Owner) execute(effect bvledger.Effect) {
	switch effect := effect.(type) {
	case bvledger.Load:
		go owner.loadProgram(effect)
	case bvledger.Commit:
		owner.parts.Committer.Add(effect.Entry)
	case bvledger.Release:
		go owner.releaseProgram(effect)
	case bvledger.Start:
		owner.deliver(effect.Call, effect)
	case bvledger.Answer:
		owner.deliver(effect.Call, effect)
	case bvledger.Refuse:
		owner.deliver(effect.Call, effect)
	case bvledger.Abort:
		owner.deliver(effect.Call, effect)
	}
}

// ReportCommit reports the outcome of an entry's commit to the ledger.
func (owner *Owner) ReportCommit(id bvledger.EntryID, version int64, err error) {
	owner.apply(func(now bvclock.Time) { owner.ledger.HandleCommit(now, id, version, err) })
}

// Run runs one call. Its events go to send; its error is a *bvverdict.Error. When ctx
// ends, a call that has started continues and its answer is persisted.
func (owner *Owner) Run(ctx context.Context, call *bvpeer.Call, send func(*bvpeer.CallEvent) error) error {
	ctx, span := bvtrace.Start(ctx, "session")
	span.SetProgram(call.GetMember(), call.GetProgram())
	err := owner.runSession(ctx, call, send)
	span.End(err)
	bvtrace.LogHop(ctx, owner.parts.Log, "call ended", err)
	return err
}

func (owner *Owner) runSession(ctx context.Context, call *bvpeer.Call, send func(*bvpeer.CallEvent) error) error {
	session, err := owner.openSession(ctx, call)
	if err != nil {
		return err
	}
	return session.forward(ctx, send)
}

// Fetch returns the persisted answer of a request.
func (owner *Owner) Fetch(ctx context.Context, member, program, request string) ([]byte, error) {
	key := bvledger.ProgramKey{Member: member, Program: program}
	finished, err := owner.runQuery(ctx, func(now bvclock.Time, id bvledger.CallID) {
		owner.ledger.Fetch(now, id, key, request)
	})
	return finished.GetAnswer(), err
}

// EndProgram ends a program durably.
func (owner *Owner) EndProgram(ctx context.Context, member, program string) error {
	key := bvledger.ProgramKey{Member: member, Program: program}
	_, err := owner.runQuery(ctx, func(now bvclock.Time, id bvledger.CallID) {
		owner.ledger.End(now, key, id)
	})
	if err == nil {
		owner.observeProgramEnd(key)
	}
	return err
}

// runQuery submits a ledger operation that runs no call, and waits for the outcome.
func (owner *Owner) runQuery(ctx context.Context, submit func(now bvclock.Time, id bvledger.CallID)) (*bvpeer.Finished, error) {
	session := newSession(owner, nil)
	owner.apply(func(now bvclock.Time) {
		owner.register(session)
		submit(now, session.id)
	})
	var finished *bvpeer.Finished
	err := session.forward(ctx, func(event *bvpeer.CallEvent) error {
		finished = event.GetFinished()
		return nil
	})
	return finished, err
}

// Leave makes the owner decline programs without a call here, and hand over each of its
// programs as soon as the program has no calls in flight.
func (owner *Owner) Leave() {
	owner.apply(func(now bvclock.Time) {
		owner.leaving = true
		owner.ledger.Leave(now)
	})
}

// HasLeft reports whether every program has been handed over.
func (owner *Owner) HasLeft() bool {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.ledger.Programs() == 0
}

// ProgramCount returns how many programs of a member this host holds.
func (owner *Owner) ProgramCount(member string) int {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.ledger.ProgramsOf(member)
}

// ReclaimPrograms ends abandoned programs: rows are all head rows, and live reports
// whether the owner of a row still runs.
func (owner *Owner) ReclaimPrograms(rows []bvplatform.Row, live func(owner string) bool) {
	owner.apply(func(now bvclock.Time) { owner.ledger.ReclaimScan(now, rows, live, defaultIdleLimit) })
}

// defaultIdleLimit is the idle time after which a program counts as abandoned if its
// row of the operators' table sets no idle time.
const defaultIdleLimit = 24 * bvclock.Hour

// hasCalls reports whether a program has calls in flight here.
func (owner *Owner) hasCalls(member, program string) bool {
	for _, session := range owner.sessions {
		if session.call.GetMember() == member && session.call.GetProgram() == program {
			return true
		}
	}
	return false
}

// IsIdle reports whether no call is in flight.
func (owner *Owner) IsIdle() bool {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return len(owner.sessions) == 0
}

func (owner *Owner) register(session *session) {
	owner.lastCall++
	session.id = owner.lastCall
	owner.sessions[session.id] = session
}

func (owner *Owner) unregister(id bvledger.CallID) {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	delete(owner.sessions, id)
}

func (owner *Owner) deliver(id bvledger.CallID, effect bvledger.Effect) {
	owner.mutex.Lock()
	session := owner.sessions[id]
	owner.mutex.Unlock()
	if session != nil {
		session.handleEffect(effect)
	}
}

// openSession submits a call to the ledger.
func (owner *Owner) openSession(ctx context.Context, call *bvpeer.Call) (*session, error) {
	row, err := owner.parts.Table.Row(call.GetMember(), call.GetClass())
	if err != nil {
		return nil, err
	}
	session := newSession(owner, call)
	session.row = row
	session.context = context.WithoutCancel(ctx)
	declined := false
	owner.apply(func(now bvclock.Time) {
		if owner.leaving && !owner.hasCalls(call.GetMember(), call.GetProgram()) {
			declined = true
			return
		}
		session.submittedAt = now
		session.deadline = deadlineOf(now, call)
		owner.register(session)
		session.startSpan("order")
		owner.ledger.Submit(now, session.ledgerCall())
	})
	if declined {
		return nil, bvverdict.Refuse(bvverdict.NotOwner, "this host is leaving")
	}
	return session, nil
}

func deadlineOf(now bvclock.Time, call *bvpeer.Call) bvclock.Time {
	if call.GetDeadlineMs() <= 0 {
		return 0
	}
	return now.Add(bvclock.Duration(call.GetDeadlineMs()))
}
