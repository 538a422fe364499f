package bvledger_test

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvcommit"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// faultyStore is an in-memory platform with faults that a test sets.
type faultyStore struct {
	bvplatform.Memory
	down      bool
	loseNext  int    // writes that take effect but whose answers are lost
	delayNext int    // writes that take effect later, answers lost
	ignore    string // checks of keys with this prefix are skipped, to show that the oracles can fail
	hide      string // rows with this prefix are never found, to show that the oracles can fail
	delayed   []bvplatform.Transaction
	onApplied func() // called after each write that took effect
}

func (faultyStore *faultyStore) apply(transaction bvplatform.Transaction) (int64, error) {
	if faultyStore.ignore != "" {
		transaction.Checks = slices.DeleteFunc(slices.Clone(transaction.Checks), func(check bvplatform.Check) bool {
			return strings.HasPrefix(check.Key, faultyStore.ignore)
		})
	}
	version, err := faultyStore.Memory.Commit(context.Background(), transaction)
	if err == nil && faultyStore.onApplied != nil {
		faultyStore.onApplied()
	}
	return version, err
}

func (faultyStore *faultyStore) Commit(_ context.Context, transaction bvplatform.Transaction) (int64, error) {
	if faultyStore.down {
		return 0, bvplatform.ErrUnavailable
	}
	if faultyStore.delayNext > 0 {
		faultyStore.delayNext--
		faultyStore.delayed = append(faultyStore.delayed, transaction)
		return 0, bvplatform.ErrUnknown
	}
	version, err := faultyStore.apply(transaction)
	if faultyStore.loseNext > 0 {
		faultyStore.loseNext--
		return 0, bvplatform.ErrUnknown
	}
	return version, err
}

func (faultyStore *faultyStore) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if faultyStore.down {
		return nil, bvplatform.ErrUnavailable
	}
	rows, err := faultyStore.Memory.Read(ctx, keys...)
	for i, row := range rows {
		if faultyStore.hide != "" && strings.HasPrefix(row.Key, faultyStore.hide) {
			rows[i] = bvplatform.Row{Key: row.Key}
		}
	}
	return rows, err
}

// applyDelayed lets the delayed writes take effect if their checks still hold.
func (faultyStore *faultyStore) applyDelayed() {
	for _, transaction := range faultyStore.delayed {
		_, _ = faultyStore.apply(transaction)
	}
	faultyStore.delayed = nil
}

// outcome is the answer or the refusal that a caller received.
type outcome struct {
	answer *bvledger.Answer
	refuse *bvledger.Refuse
}

// sentCall is a call that runs at an endpoint.
type sentCall struct {
	call     bvledger.CallID
	endpoint string
}

// host is a ledger with its committer, and the calls it has started.
type host struct {
	name         string
	ledger       *bvledger.Ledger
	committer    *bvcommit.Committer
	store        *faultyStore
	inbox        []func(now bvclock.Time)
	started      []bvledger.Start
	sent         []sentCall
	released     []bvledger.Release
	outcomes     map[bvledger.CallID]outcome
	alterEffects func([]bvledger.Effect) []bvledger.Effect // alters the ledger's effects, to show that the oracles can fail
}

func newHost(name string, store *faultyStore) *host {
	return &host{
		name:      name,
		ledger:    bvledger.New(name),
		committer: bvcommit.New(name, "1"),
		store:     store,
		outcomes:  make(map[bvledger.CallID]outcome),
	}
}

// GoString keeps the traces of fuzz runs short.
func (host *host) GoString() string {
	return host.name
}

// pump carries out effects until all further progress needs time to pass.
func (host *host) pump(now bvclock.Time) {
	for range 100 {
		host.tick(now)
		inbox := host.inbox
		host.inbox = nil
		for _, deliver := range inbox {
			deliver(now)
		}
		if len(inbox) == 0 {
			return
		}
	}
	panic("effects do not end")
}

// tick carries out the effects of one Tick; the platform's answers are added to the
// inbox.
func (host *host) tick(now bvclock.Time) {
	effects := host.ledger.Tick(now)
	if host.alterEffects != nil {
		effects = host.alterEffects(effects)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case bvledger.Load:
			rows, err := host.load(effect)
			host.inbox = append(host.inbox, func(now bvclock.Time) { host.ledger.HandleRows(now, effect.Key, rows, err) })
		case bvledger.Commit:
			host.committer.Add(effect.Entry)
		case bvledger.Start:
			host.started = append(host.started, effect)
		case bvledger.Release:
			host.released = append(host.released, effect)
		case bvledger.Answer:
			host.recordOutcome(effect.Call, outcome{answer: &effect})
		case bvledger.Refuse:
			host.recordOutcome(effect.Call, outcome{refuse: &effect})
		}
	}
	for _, effect := range host.committer.Tick(now) {
		switch effect := effect.(type) {
		case bvcommit.Write:
			version, err := host.store.Commit(context.Background(), effect.Transaction)
			host.inbox = append(host.inbox, func(now bvclock.Time) { host.committer.HandleWrite(now, version, err) })
		case bvcommit.Read:
			rows, err := host.store.Read(context.Background(), effect.Key)
			host.inbox = append(host.inbox, func(now bvclock.Time) {
				if err != nil {
					host.committer.HandleRead(now, bvplatform.Row{}, err)
					return
				}
				host.committer.HandleRead(now, rows[0], nil)
			})
		case bvcommit.Done:
			host.inbox = append(host.inbox, func(now bvclock.Time) {
				host.ledger.HandleCommit(now, effect.Entry, effect.Version, effect.Err)
			})
		}
	}
}

func (host *host) recordOutcome(call bvledger.CallID, outcome outcome) {
	if _, twice := host.outcomes[call]; twice {
		panic(fmt.Sprintf("call %d has two outcomes", call))
	}
	host.outcomes[call] = outcome
}

func (host *host) load(load bvledger.Load) ([]bvplatform.Row, error) {
	rows, err := host.store.Read(context.Background(), load.Keys...)
	if err != nil || !load.ScanTurns {
		return rows, err
	}
	turns, err := host.store.Scan(context.Background(), bvledger.TurnPrefix(load.Key), "", 1000)
	return append(rows, turns...), err
}

// takeStarted removes and returns the oldest started call.
func (host *host) takeStarted() bvledger.Start {
	start := host.started[0]
	host.started = host.started[1:]
	return start
}

// takeSent removes and returns the oldest sent call.
func (host *host) takeSent() sentCall {
	run := host.sent[0]
	host.sent = host.sent[1:]
	return run
}
