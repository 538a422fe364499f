// Package bvowner runs the programs that this host owns. It feeds calls and
// outcomes into a bvledger.Ledger and carries out what the ledger wants: rows
// read and written, calls started, callers answered, caches released.
//
// # Usage
//
//	owner := bvowner.New(name, clock, store, permits, endpoints, limits, log)
//	go owner.Commit(ctx)
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

// Rows is the operators' table in force on this host.
type Table interface {
	// Row returns the row of a call, or the refusal of a call that has none.
	Row(member, class string) (bvtable.Row, error)
}

// Addresses finds endpoints by name.
type EndpointList interface {
	Endpoint(name string) (bvplatform.Endpoint, bool)
	// Engines returns the names of all model engines.
	Engines() []string
	// Gone reports whether an endpoint and all that it held is no more.
	IsGone(name string) bool
}

// Parts are what an owner works with.
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
	measure  Metrics
	mutex    sync.Mutex
	ledger   *bvledger.Ledger
	sessions map[bvledger.CallID]*session
	lastCall bvledger.CallID
	alarm    bvclock.Alarm
	leaving  bool

	latencies latencies
}

// New returns an owner; incarnation names this process and no other.
func New(incarnation string, parts Parts) *Owner {
	measure := parts.Metrics
	if measure == nil {
		measure = noMeasure{}
	}
	return &Owner{
		parts:    parts,
		measure:  measure,
		ledger:   bvledger.New(incarnation),
		sessions: make(map[bvledger.CallID]*session),
	}
}

// do applies an event to the ledger and carries out what it then wants.
func (owner *Owner) do(event func(now bvclock.Time)) {
	owner.mutex.Lock()
	now := owner.parts.Clock.Now()
	event(now)
	effects := owner.ledger.Tick(now)
	owner.schedule(now)
	owner.mutex.Unlock()
	for _, effect := range effects {
		owner.carryOut(effect)
	}
}

// schedule arranges the tick that time alone calls for.
func (owner *Owner) schedule(now bvclock.Time) {
	next, ok := owner.ledger.Next()
	if !ok {
		owner.alarm.Clear()
		return
	}
	owner.alarm.Set(now, next, func() { owner.do(func(bvclock.Time) {}) })
}

func (owner *Owner) carryOut(effect bvledger.Effect) {
	switch effect := effect.(type) {
	case bvledger.Load:
		go owner.load(effect)
	case bvledger.Commit:
		owner.parts.Committer.Add(effect.Entry)
	case bvledger.Release:
		go owner.release(effect)
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

// Committed tells the ledger the outcome of an entry.
func (owner *Owner) ReportCommit(id bvledger.EntryID, version int64, err error) {
	owner.do(func(now bvclock.Time) { owner.ledger.HandleCommit(now, id, version, err) })
}

// Run runs one call. Its events go to send; its error is a *bvverdict.Error.
// When ctx ends, a call that has started goes on and its answer is kept.
func (owner *Owner) Run(ctx context.Context, call *bvpeer.Call, send func(*bvpeer.CallEvent) error) error {
	ctx, span := bvtrace.Start(ctx, "session")
	span.SetProgram(call.GetMember(), call.GetProgram())
	err := owner.runSession(ctx, call, send)
	span.End(err)
	bvtrace.LogHop(ctx, owner.parts.Log, "call ended", err)
	return err
}

func (owner *Owner) runSession(ctx context.Context, call *bvpeer.Call, send func(*bvpeer.CallEvent) error) error {
	session, err := owner.open(ctx, call)
	if err != nil {
		return err
	}
	return session.forward(ctx, send)
}

// Fetch returns the kept answer of a request.
func (owner *Owner) Fetch(ctx context.Context, member, program, request string) ([]byte, error) {
	key := bvledger.ProgramKey{Member: member, Program: program}
	finished, err := owner.ask(ctx, func(now bvclock.Time, id bvledger.CallID) {
		owner.ledger.Fetch(now, id, key, request)
	})
	return finished.GetAnswer(), err
}

// EndProgram ends a program, durably.
func (owner *Owner) EndProgram(ctx context.Context, member, program string) error {
	key := bvledger.ProgramKey{Member: member, Program: program}
	_, err := owner.ask(ctx, func(now bvclock.Time, id bvledger.CallID) {
		owner.ledger.End(now, key, id)
	})
	if err == nil {
		owner.programEnded(key)
	}
	return err
}

// ask enters something that runs nothing and waits for the outcome.
func (owner *Owner) ask(ctx context.Context, enter func(now bvclock.Time, id bvledger.CallID)) (*bvpeer.Finished, error) {
	session := newSession(owner, nil)
	owner.do(func(now bvclock.Time) {
		owner.register(session)
		enter(now, session.id)
	})
	var finished *bvpeer.Finished
	err := session.forward(ctx, func(event *bvpeer.CallEvent) error {
		finished = event.GetFinished()
		return nil
	})
	return finished, err
}

// Leave makes the owner decline programs that it has no call of, and hand its
// programs over, each as soon as nothing of it is under way.
func (owner *Owner) Leave() {
	owner.do(func(now bvclock.Time) {
		owner.leaving = true
		owner.ledger.Leave(now)
	})
}

// Left reports whether every program has been handed over.
func (owner *Owner) HasLeft() bool {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.ledger.Programs() == 0
}

// Programs returns how many programs of a member this host holds.
func (owner *Owner) ProgramCount(member string) int {
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	return owner.ledger.ProgramsOf(member)
}

// Reclaim ends programs that nobody ends: rows are all head rows, and live
// tells whether the owner of a row still runs.
func (owner *Owner) ReclaimPrograms(rows []bvplatform.Row, live func(owner string) bool) {
	owner.do(func(now bvclock.Time) { owner.ledger.ReclaimScan(now, rows, live, longestIdle) })
}

// longestIdle is after which a program counts as lost whose row of the
// operators' table sets no idle time.
const longestIdle = 24 * bvclock.Hour

// busy reports whether a program has calls under way here.
func (owner *Owner) busy(member, program string) bool {
	for _, session := range owner.sessions {
		if session.call.GetMember() == member && session.call.GetProgram() == program {
			return true
		}
	}
	return false
}

// Idle reports whether no call is under way.
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
		session.take(effect)
	}
}

// open enters a call at the ledger.
func (owner *Owner) open(ctx context.Context, call *bvpeer.Call) (*session, error) {
	row, err := owner.parts.Table.Row(call.GetMember(), call.GetClass())
	if err != nil {
		return nil, err
	}
	session := newSession(owner, call)
	session.row = row
	session.context = context.WithoutCancel(ctx)
	declined := false
	owner.do(func(now bvclock.Time) {
		if owner.leaving && !owner.busy(call.GetMember(), call.GetProgram()) {
			declined = true
			return
		}
		session.began = now
		session.deadline = deadlineOf(now, call)
		owner.register(session)
		session.enter("order")
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
