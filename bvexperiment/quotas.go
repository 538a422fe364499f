package bvexperiment

import (
	"hash/fnv"
	"strings"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// hosts is the number of hosts in policies in which each host decides independently.
const hosts = 13

// hostOf returns the host that owns a program; sub-agents have the owner of their root.
func hostOf(program string) int {
	root, _, _ := strings.Cut(program, ".")
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(root))
	return int(hash.Sum32() % hosts)
}

// quotas gives each host a fixed share of each endpoint's slots. Each host decides
// for its own programs with the product's Pool.
type quotas struct {
	pools []*bvgate.Pool
	owner map[bvgate.RequestID]int
}

func newQuotas(uint64) Policy {
	policy := &quotas{owner: make(map[bvgate.RequestID]int)}
	for range hosts {
		policy.pools = append(policy.pools, newTunedPool())
	}
	return policy
}

// SetMembers implements Policy.
func (policy *quotas) SetMembers(shares []bvgate.MemberShare) {
	for _, pool := range policy.pools {
		pool.SetMembers(shares)
	}
}

// UpdateEndpoint implements Policy.
func (policy *quotas) UpdateEndpoint(now bvclock.Time, report bvgate.EndpointReport) {
	first := hostOf(report.Name)
	for at, pool := range policy.pools {
		part := report
		part.Slots = quota(report.Slots, (at-first+hosts)%hosts)
		part.CacheTokens = report.CacheTokens * part.Slots / report.Slots
		part.Running = report.Running * part.Slots / report.Slots
		if part.Slots > 0 {
			pool.UpdateEndpoint(now, part)
		}
	}
}

// quota returns a host's share of an endpoint's slots. The first hosts by place get
// the remainder.
func quota(slots, place int) int {
	part := slots / hosts
	if place < slots%hosts {
		part++
	}
	return part
}

// RemoveEndpoint implements Policy.
func (policy *quotas) RemoveEndpoint(now bvclock.Time, endpoint string) {
	for _, pool := range policy.pools {
		pool.RemoveEndpoint(now, endpoint)
	}
}

// Submit implements Policy.
func (policy *quotas) Submit(now bvclock.Time, request bvgate.Request) {
	host := hostOf(request.Program)
	policy.owner[request.ID] = host
	policy.pools[host].Submit(now, request)
}

// MarkUsed implements Policy.
func (policy *quotas) MarkUsed(now bvclock.Time, id bvgate.RequestID) bool {
	return policy.pools[policy.owner[id]].MarkUsed(now, id)
}

// Finish implements Policy.
func (policy *quotas) Finish(now bvclock.Time, finish bvgate.Finish) {
	policy.pools[policy.owner[finish.ID]].Finish(now, finish)
}

// Adopt implements Policy.
func (policy *quotas) Adopt(now bvclock.Time, running bvgate.Request, endpoint string) {
	policy.pools[hostOf(running.Program)].Adopt(now, running, endpoint)
}

// EndProgram implements Policy.
func (policy *quotas) EndProgram(now bvclock.Time, member, program string) {
	policy.pools[hostOf(program)].EndProgram(now, member, program)
}

// ConfirmRelease implements Policy.
func (policy *quotas) ConfirmRelease(now bvclock.Time, endpoint, member, program string) {
	policy.pools[hostOf(program)].ConfirmRelease(now, endpoint, member, program)
}

// Tick implements Policy.
func (policy *quotas) Tick(now bvclock.Time) []bvgate.Effect {
	var effects []bvgate.Effect
	for _, pool := range policy.pools {
		effects = append(effects, pool.Tick(now)...)
	}
	return effects
}

// NextTick implements Policy.
func (policy *quotas) NextTick() bvclock.Time {
	next := bvclock.Time(0)
	for _, pool := range policy.pools {
		if at := pool.NextTick(); at != 0 && (next == 0 || at.Before(next)) {
			next = at
		}
	}
	return next
}
