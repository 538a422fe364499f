package bvexperiment

import (
	"cmp"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
)

// takeoverTime is the time from the failure of the deciding host until the next host
// decides: its peers' connections break, and the list drops it.
const takeoverTime = listLag

// killedGate is a Pool whose host fails at faultAt. The next host starts with an empty
// Pool, to which owners report their running and waiting requests again.
type killedGate struct {
	*bvgate.Pool
	isDown        bool
	tookOver      bool
	shares        []bvgate.MemberShare
	reports       []bvgate.EndpointReport
	waiting       map[bvgate.RequestID]bvgate.Request
	running       map[bvgate.RequestID]grantedCall
	endedPrograms [][2]string // member and program
}

type grantedCall struct {
	request  bvgate.Request
	endpoint string
}

func newKilledGate(uint64) Policy {
	return &killedGate{
		Pool:    newTunedPool(),
		waiting: make(map[bvgate.RequestID]bvgate.Request),
		running: make(map[bvgate.RequestID]grantedCall),
	}
}

// SetMembers implements Policy.
func (gate *killedGate) SetMembers(shares []bvgate.MemberShare) {
	gate.shares = shares
	gate.Pool.SetMembers(shares)
}

// UpdateEndpoint implements Policy.
func (gate *killedGate) UpdateEndpoint(now bvclock.Time, report bvgate.EndpointReport) {
	gate.dropReport(report.Name)
	gate.reports = append(gate.reports, report)
	if !gate.isDown {
		gate.Pool.UpdateEndpoint(now, report)
	}
}

// RemoveEndpoint implements Policy.
func (gate *killedGate) RemoveEndpoint(now bvclock.Time, endpoint string) {
	gate.dropReport(endpoint)
	if !gate.isDown {
		gate.Pool.RemoveEndpoint(now, endpoint)
	}
}

func (gate *killedGate) dropReport(endpoint string) {
	gate.reports = slices.DeleteFunc(gate.reports, func(report bvgate.EndpointReport) bool {
		return report.Name == endpoint
	})
}

// Submit implements Policy.
func (gate *killedGate) Submit(now bvclock.Time, request bvgate.Request) {
	gate.waiting[request.ID] = request
	if !gate.isDown {
		gate.Pool.Submit(now, request)
	}
}

// MarkUsed implements Policy.
func (gate *killedGate) MarkUsed(now bvclock.Time, id bvgate.RequestID) bool {
	return gate.isDown || gate.Pool.MarkUsed(now, id)
}

// Finish implements Policy.
func (gate *killedGate) Finish(now bvclock.Time, finish bvgate.Finish) {
	delete(gate.running, finish.ID)
	if !gate.isDown {
		gate.Pool.Finish(now, finish)
	}
}

// EndProgram implements Policy. An owner that reaches no deciding host reports the end
// to the next one.
func (gate *killedGate) EndProgram(now bvclock.Time, member, program string) {
	if gate.isDown {
		gate.endedPrograms = append(gate.endedPrograms, [2]string{member, program})
		return
	}
	gate.Pool.EndProgram(now, member, program)
}

// Tick implements Policy.
func (gate *killedGate) Tick(now bvclock.Time) []bvgate.Effect {
	if !gate.isDown && !gate.tookOver && !now.Before(faultAt) {
		gate.isDown = true
	}
	if gate.isDown && now.Before(faultAt.Add(takeoverTime)) {
		return nil
	}
	if gate.isDown {
		gate.takeOver(now)
	}
	effects := gate.Pool.Tick(now)
	for _, effect := range effects {
		gate.recordEffect(effect)
	}
	return effects
}

func (gate *killedGate) recordEffect(effect bvgate.Effect) {
	switch effect := effect.(type) {
	case bvgate.Grant:
		gate.running[effect.Request] = grantedCall{gate.waiting[effect.Request], effect.Endpoint}
		delete(gate.waiting, effect.Request)
	case bvgate.Refusal:
		delete(gate.waiting, effect.Request)
	}
}

func (gate *killedGate) takeOver(now bvclock.Time) {
	gate.isDown, gate.tookOver = false, true
	gate.Pool = newTunedPool()
	gate.Pool.SetMembers(gate.shares)
	for _, report := range gate.reports {
		gate.Pool.UpdateEndpoint(now, report)
	}
	for _, id := range sortedIDs(gate.running) {
		gate.Pool.Adopt(now, gate.running[id].request, gate.running[id].endpoint)
	}
	for _, id := range sortedIDs(gate.waiting) {
		gate.Pool.Submit(now, gate.waiting[id])
	}
	for _, program := range gate.endedPrograms {
		gate.Pool.EndProgram(now, program[0], program[1])
	}
	gate.endedPrograms = nil
}

func sortedIDs[Value any](byID map[bvgate.RequestID]Value) []bvgate.RequestID {
	ids := make([]bvgate.RequestID, 0, len(byID))
	for id := range byID {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[bvgate.RequestID])
	return ids
}

// NextTick implements Policy.
func (gate *killedGate) NextTick() bvclock.Time {
	if gate.isDown {
		return faultAt.Add(takeoverTime)
	}
	next := gate.Pool.NextTick()
	if !gate.tookOver && (next == 0 || faultAt.Before(next)) {
		return faultAt
	}
	return next
}
