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

// faults is a platform with settable faults over one that has none.
type faults struct {
	bvplatform.Memory
	down      bool
	loseNext  int    // writes that take effect but whose answers are lost
	delayNext int    // writes that take effect later, answers lost
	ignore    string // checks of keys with this prefix are not made: broken on purpose, to show that oracles can fail
	hide      string // rows with this prefix are never found: broken on purpose, too
	delayed   []bvplatform.Transaction
	applied   func() // called after each write that took effect
}

func (faults *faults) apply(transaction bvplatform.Transaction) (int64, error) {
	if faults.ignore != "" {
		transaction.Checks = slices.DeleteFunc(slices.Clone(transaction.Checks), func(check bvplatform.Check) bool {
			return strings.HasPrefix(check.Key, faults.ignore)
		})
	}
	version, err := faults.Memory.Commit(context.Background(), transaction)
	if err == nil && faults.applied != nil {
		faults.applied()
	}
	return version, err
}

func (faults *faults) Commit(_ context.Context, transaction bvplatform.Transaction) (int64, error) {
	if faults.down {
		return 0, bvplatform.ErrUnavailable
	}
	if faults.delayNext > 0 {
		faults.delayNext--
		faults.delayed = append(faults.delayed, transaction)
		return 0, bvplatform.ErrUnknown
	}
	version, err := faults.apply(transaction)
	if faults.loseNext > 0 {
		faults.loseNext--
		return 0, bvplatform.ErrUnknown
	}
	return version, err
}

func (faults *faults) Read(ctx context.Context, keys ...string) ([]bvplatform.Row, error) {
	if faults.down {
		return nil, bvplatform.ErrUnavailable
	}
	rows, err := faults.Memory.Read(ctx, keys...)
	for i, row := range rows {
		if faults.hide != "" && strings.HasPrefix(row.Key, faults.hide) {
			rows[i] = bvplatform.Row{Key: row.Key}
		}
	}
	return rows, err
}

// land lets the delayed writes take effect, if their checks still hold.
func (faults *faults) land() {
	for _, transaction := range faults.delayed {
		_, _ = faults.apply(transaction)
	}
	faults.delayed = nil
}

// outcome is what a caller heard.
type outcome struct {
	answer *bvledger.Answer
	refuse *bvledger.Refuse
}

// running is a call that an endpoint runs.
type running struct {
	call     bvledger.CallID
	endpoint string
}

// host is a ledger with its committer, and the calls it has started.
type host struct {
	name      string
	ledger    *bvledger.Ledger
	committer *bvcommit.Committer
	store     *faults
	inbox     []func(now bvclock.Time)
	started   []bvledger.Start
	running   []running
	released  []bvledger.Release
	outcomes  map[bvledger.CallID]outcome
	effects   func([]bvledger.Effect) []bvledger.Effect // broken on purpose
}

func newHost(name string, store *faults) *host {
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

// pump carries effects until nothing is left that time doesn't have to bring.
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
	panic("effects without end")
}

// tick takes the effects; the platform's answers go to the inbox.
func (host *host) tick(now bvclock.Time) {
	effects := host.ledger.Tick(now)
	if host.effects != nil {
		effects = host.effects(effects)
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
			host.tell(effect.Call, outcome{answer: &effect})
		case bvledger.Refuse:
			host.tell(effect.Call, outcome{refuse: &effect})
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

func (host *host) tell(call bvledger.CallID, told outcome) {
	if _, twice := host.outcomes[call]; twice {
		panic(fmt.Sprintf("call %d has two outcomes", call))
	}
	host.outcomes[call] = told
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

// takeRunning removes and returns the call that was sent first.
func (host *host) takeRunning() running {
	run := host.running[0]
	host.running = host.running[1:]
	return run
}
