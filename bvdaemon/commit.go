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

// writeBurst bounds the unused share of the write budget that a host may
// accumulate: a burst of all hosts together never exceeds the budget of this time.
const writeBurst = 250 * bvclock.Millisecond

// storeTimeout bounds one read or write of the platform's table. A write that
// times out is read back, because it may have been committed.
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

// run adjusts the write rate to the number of live hosts until ctx ends.
func (loop *commitLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		loop.setRate()
		sleep(ctx, bvclock.Second)
	}
}

// setRate divides the platform's write budget evenly among the live hosts. Each
// host counts them in its own view, so all rates change when a host joins or leaves.
func (loop *commitLoop) setRate() {
	hosts := bvclock.Duration(loop.daemon.view.LiveCount())
	interval := hosts * bvclock.Second / bvclock.Duration(loop.daemon.settings.WriteBudget())
	loop.mutex.Lock()
	defer loop.mutex.Unlock()
	loop.committer.SetInterval(interval)
	loop.committer.SetBurst(max(int(writeBurst/max(interval, 1)), 1))
}

// Add implements bvowner.Committer.
func (loop *commitLoop) Add(entry bvledger.Entry) {
	loop.handle(func(bvclock.Time) { loop.committer.Add(entry) })
}

// handle applies an event to the committer and executes the resulting effects.
func (loop *commitLoop) handle(event func(now bvclock.Time)) {
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

// schedule sets the alarm to the committer's next tick that no event triggers.
func (loop *commitLoop) schedule(now bvclock.Time) {
	next, ok := loop.committer.Next()
	if !ok {
		loop.alarm.Stop()
		return
	}
	loop.alarm.Set(now, next, func() { loop.handle(func(bvclock.Time) {}) })
}

func (loop *commitLoop) write(transaction bvplatform.Transaction) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Std())
	defer cancel()
	loop.daemon.measures.Add("platform_writes", 1)
	version, err := loop.daemon.platform.Commit(ctx, transaction)
	if conflict := new(bvplatform.ConflictError); errors.As(err, &conflict) {
		loop.daemon.measures.Add("platform_conflicts", 1)
	}
	loop.handle(func(now bvclock.Time) { loop.committer.HandleWrite(now, version, err) })
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
	loop.handle(func(now bvclock.Time) { loop.committer.HandleRead(now, row, err) })
}

// flush waits until all entries are written or the context ends.
func (loop *commitLoop) flush(ctx context.Context) {
	for ctx.Err() == nil {
		loop.mutex.Lock()
		pending := loop.committer.Pending()
		loop.mutex.Unlock()
		if pending == 0 {
			return
		}
		sleep(ctx, flushPollInterval)
	}
}

const flushPollInterval = 10 * bvclock.Millisecond
