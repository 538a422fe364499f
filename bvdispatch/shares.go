package bvdispatch

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvshare"
)

// Shares of workspaces over all hosts, for an overload that a few workspaces cause. While the
// engines are contended, workspaces that use more than their fair share are rejected before
// the others, whichever hosts they send their programs to.
const (
	// contendedLoadShare is the load share from which the engines are contended, and new
	// programs of workspaces above their share are rejected: from then on, a call that is
	// added delays another.
	contendedLoadShare = 1.0
	// defaultProgramWork is the engine time of a program, in milliseconds, until this host
	// has started one.
	defaultProgramWork = 100
	// defaultTokenMs is the time in which an engine generates a token, in milliseconds,
	// where the time of a call's first event is unknown.
	defaultTokenMs = 1
)

// shareLimit returns the load share from which a new program is rejected, by the share of its
// workspace; limit is that for a program without a workspace, and load the present load share. It
// returns false if shares are disabled or unknown.
func (pool *Pool) shareLimit(now bvclock.Time, program NewProgram, limit, load float64) (float64, bool) {
	if pool.disabled.Has(bvmechanism.Shares) {
		return 0, false
	}
	if load < contendedLoadShare {
		return limit, true
	}
	workspace := bvshare.HashWorkspace(program.Workspace)
	// The work that the engines do now is in proportion to the calls in flight.
	standing := pool.shares.Standing(now, workspace, pool.shares.Used(now)*contendedLoadShare/load)
	switch {
	case standing.Over:
		limit += contendedLoadShare - maxLoadShare
	case standing.Below:
		limit += othersExtraShare
	}
	if load >= limit {
		pool.shares.RecordAsk(now, workspace, pool.startedPrograms.mean.work())
	}
	if load >= limit && standing.Over && program.Standing != nil {
		*program.Standing = standing
	}
	return limit, standing.Known
}

// recordPromptWork records the engine time that a call needs for its prompt.
func (pool *Pool) recordPromptWork(now bvclock.Time, request *Request) {
	if request.Workspace != "" {
		pool.recordWork(now, request.Workspace, float64(max(request.PromptTokens-request.CachedTokens, 0))/pool.ReadingRate())
	}
}

// RecordOutputWork records the engine time of the tokens that a call at an endpoint has
// generated. The engine generates tokens of as many calls at a time as it has slots.
func (pool *Pool) RecordOutputWork(now bvclock.Time, id string, request *Request, result Result) {
	row := pool.byID(id)
	if row == nil || result.OutputTokens == 0 {
		return
	}
	duration := defaultTokenMs * float64(result.OutputTokens)
	if result.TimeToFirstEvent > 0 {
		duration = float64(max(result.Duration-result.TimeToFirstEvent, 0))
	}
	pool.recordWork(now, request.Workspace, duration/row.slots())
}

func (pool *Pool) recordWork(now bvclock.Time, workspace string, work float64) {
	if workspace == "" || pool.disabled.Has(bvmechanism.Shares) {
		return
	}
	pool.startedPrograms.mean.addWork(work)
	key := bvshare.HashWorkspace(workspace)
	pool.shares.RecordAsk(now, key, work)
	pool.shares.RecordWork(now, key, work)
}

// Shares returns the work of workspaces at this host and the others.
func (pool *Pool) Shares() *bvshare.Shares { return pool.shares }

// maxMeanPrograms bounds the programs that a meanWork averages.
const maxMeanPrograms = 64

// meanWork averages the engine time of the last programs. The zero value has none.
type meanWork struct {
	programs  float64
	totalWork float64 // milliseconds
}

func (mean *meanWork) addProgram() {
	if mean.programs++; mean.programs >= maxMeanPrograms {
		mean.programs /= 2
		mean.totalWork /= 2
	}
}

func (mean *meanWork) addWork(work float64) { mean.totalWork += work }

// work returns the mean engine time of a program, in milliseconds.
func (mean *meanWork) work() float64 {
	if mean.programs == 0 || mean.totalWork == 0 {
		return defaultProgramWork
	}
	return mean.totalWork / mean.programs
}

// recordOutputWork records the engine time of the tokens that a call has generated.
func (dispatcher *Dispatcher) recordOutputWork(service, endpoint string, request *Request, result Result) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.pool(service).RecordOutputWork(now, endpoint, request, result)
}

// TakeShareReport sets how many other hosts are known and the longest interval between two of
// their digests, and returns the work of workspaces at this host for its digest.
func (dispatcher *Dispatcher) TakeShareReport(others int, lag bvclock.Duration) []bvshare.Usage {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.shares.SetHosts(others, lag)
	return dispatcher.shares.Report(now)
}

// SetPeerShares sets the work of workspaces at another host.
func (dispatcher *Dispatcher) SetPeerShares(host uint64, usages []bvshare.Usage) {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.shares.SetPeerUsage(now, host, usages)
}

// LargestShares returns the standings of the workspaces with the largest demand, over all
// hosts, by the hash of their names.
func (dispatcher *Dispatcher) LargestShares() map[uint32]bvshare.Standing {
	now := dispatcher.clock.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.shares.Largest(now)
}
