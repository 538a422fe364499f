package bvpermit

import (
	"slices"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// PoolStatus is the state of a pool on this host.
type PoolStatus struct {
	Pool      string
	Members   []MemberStatus
	Endpoints []bvgate.EndpointStatus
}

// MemberStatus is a member's state in a pool.
type MemberStatus struct {
	bvgate.MemberStatus
	RecentWork bvgate.Work // work granted by this host in the last WorkWindow
}

// Status returns the state of the pools that this host decides for or has
// decided for, sorted by name.
func (server *Server) Status() []PoolStatus {
	server.mutex.Lock()
	pools := make([]*pool, 0, len(server.pools))
	for _, pool := range server.pools {
		pools = append(pools, pool)
	}
	server.mutex.Unlock()
	slices.SortFunc(pools, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	statuses := make([]PoolStatus, len(pools))
	for i, pool := range pools {
		statuses[i] = pool.status()
	}
	return statuses
}

func (pool *pool) status() PoolStatus {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	snapshot := pool.decisions.Snapshot()
	status := PoolStatus{Pool: pool.name, Endpoints: snapshot.Endpoints}
	for _, member := range snapshot.Members {
		status.Members = append(status.Members, MemberStatus{MemberStatus: member, RecentWork: pool.workLog.recentWork(member)})
	}
	return status
}

// WorkWindow is the period over which a member's work is counted.
const WorkWindow = 10 * bvclock.Second

// minSampleInterval is the minimum time between two samples.
const minSampleInterval = bvclock.Second

// workLog holds samples of each member's granted work over the last WorkWindow.
type workLog struct {
	samples []workSample // oldest first
}

type workSample struct {
	at     bvclock.Time
	served map[string]bvgate.Work // by member
}

// sample records the members' total granted work.
func (log *workLog) sample(now bvclock.Time, decisions *bvgate.Pool) {
	last := len(log.samples) - 1
	if last >= 0 && now.Sub(log.samples[last].at) < minSampleInterval {
		return
	}
	served := make(map[string]bvgate.Work)
	for _, member := range decisions.Snapshot().Members {
		served[member.Member] = member.ServedWork
	}
	log.samples = append(log.samples, workSample{at: now, served: served})
	for len(log.samples) > 1 && now.Sub(log.samples[1].at) >= WorkWindow {
		log.samples = log.samples[1:]
	}
}

// recentWork is the work granted since the oldest sample. A correction of an earlier
// estimate can make the difference negative; a negative value would confuse readers of
// the status, so it is reported as 0.
func (log *workLog) recentWork(member bvgate.MemberStatus) bvgate.Work {
	if len(log.samples) == 0 {
		return member.ServedWork
	}
	return max(member.ServedWork-log.samples[0].served[member.Member], 0)
}
