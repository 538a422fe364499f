package bvdaemon

import (
	"context"
	"errors"
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvcommit"
	"balsamvalve.example/bvledger"
	"balsamvalve.example/bvplatform"
)

// writeBurst is how much of its share of writes a host may save up: all hosts
// together then never ask for more than the budget of this time at once.
const writeBurst = 250 * bvclock.Millisecond

// storeTimeout bounds one read or write of the platform's table. A write that
// got no answer in this time is read back.
const storeTimeout = 2 * bvclock.Second

// commitLoop runs the group committer of this host.
type commitLoop struct {
	daemon    *Daemon
	mutex     sync.Mutex
	committer *bvcommit.Committer
	alarm     bvclock.Timer
}

func newCommitLoop(daemon *Daemon) *commitLoop {
	return &commitLoop{
		daemon:    daemon,
		committer: bvcommit.New(daemon.Name(), daemon.incarnation),
	}
}

// run paces the writes by the number of live hosts until ctx ends.
func (loop *commitLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		loop.pace()
		sleep(ctx, bvclock.Second)
	}
}

// pace shares the platform's write budget evenly: each host counts the live
// hosts for itself, so a host that joins or leaves changes all of them.
func (loop *commitLoop) pace() {
	hosts := bvclock.Duration(loop.daemon.view.LiveCount())
	interval := hosts * bvclock.Second / bvclock.Duration(loop.daemon.settings.WriteBudget())
	loop.mutex.Lock()
	defer loop.mutex.Unlock()
	loop.committer.SetInterval(interval)
	loop.committer.SetBurst(max(int(writeBurst/max(interval, 1)), 1))
}

// Add implements bvowner.Committer.
func (loop *commitLoop) Add(entry bvledger.Entry) {
	loop.do(func(bvclock.Time) { loop.committer.Add(entry) })
}

// do applies an event and carries out what the committer then wants.
func (loop *commitLoop) do(event func(now bvclock.Time)) {
	loop.mutex.Lock()
	now := loop.daemon.clock.Now()
	event(now)
	effects := loop.committer.Tick(now)
	loop.schedule(now)
	loop.mutex.Unlock()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case bvcommit.Write:
			go loop.write(effect.Transaction)
		case bvcommit.Read:
			go loop.read(effect.Key)
		case bvcommit.Done:
			loop.daemon.measures.Add("commit_entries", 1)
			loop.daemon.owner.ReportCommit(effect.Entry, effect.Version, effect.Err)
		}
	}
}

// schedule arranges the tick that time alone calls for.
func (loop *commitLoop) schedule(now bvclock.Time) {
	next, ok := loop.committer.Next()
	if !ok {
		loop.alarm.Stop()
		return
	}
	loop.alarm.Set(now, next, func() { loop.do(func(bvclock.Time) {}) })
}

func (loop *commitLoop) write(transaction bvplatform.Transaction) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	loop.daemon.measures.Add("platform_writes", 1)
	version, err := loop.daemon.platform.Commit(ctx, transaction)
	if conflict := new(bvplatform.ConflictError); errors.As(err, &conflict) {
		loop.daemon.measures.Add("platform_conflicts", 1)
	}
	loop.do(func(now bvclock.Time) { loop.committer.HandleWrite(now, version, err) })
}

func (loop *commitLoop) read(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	loop.daemon.measures.Add("platform_unknown", 1)
	row := bvplatform.Row{Key: key}
	rows, err := loop.daemon.platform.Read(ctx, key)
	if err == nil && len(rows) == 1 {
		row = rows[0]
	}
	loop.do(func(now bvclock.Time) { loop.committer.HandleRead(now, row, err) })
}

// flush waits until nothing is left to be written.
func (loop *commitLoop) flush(limit context.Context) {
	for limit.Err() == nil {
		loop.mutex.Lock()
		pending := loop.committer.Pending()
		loop.mutex.Unlock()
		if pending == 0 {
			return
		}
		sleep(limit, flushPoll)
	}
}

const flushPoll = 10 * bvclock.Millisecond
