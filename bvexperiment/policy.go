package bvexperiment

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvverdict"
)

// Policy decides which call is sent to which endpoint, and when. Its methods are those
// of bvgate.Pool, so that the experiment measures the product's own decisions and not
// a copy of them. The baselines receive the same events.
type Policy interface {
	SetMembers(shares []bvgate.MemberShare)
	UpdateEndpoint(now bvclock.Time, report bvgate.EndpointReport)
	RemoveEndpoint(now bvclock.Time, endpoint string)
	Submit(now bvclock.Time, request bvgate.Request)
	MarkUsed(now bvclock.Time, id bvgate.RequestID) bool
	Finish(now bvclock.Time, finish bvgate.Finish)
	Adopt(now bvclock.Time, running bvgate.Request, endpoint string)
	EndProgram(now bvclock.Time, member, program string)
	ConfirmRelease(now bvclock.Time, endpoint, member, program string)
	Tick(now bvclock.Time) []bvgate.Effect
	NextTick() bvclock.Time
}

// baseline is the common part of all baselines: it holds the list of endpoints and
// grants each call immediately.
type baseline struct {
	endpoints []bvgate.EndpointReport // sorted by name
	effects   []bvgate.Effect
}

func (baseline *baseline) SetMembers([]bvgate.MemberShare)                                   {}
func (baseline *baseline) MarkUsed(bvclock.Time, bvgate.RequestID) bool                      { return true }
func (baseline *baseline) Finish(bvclock.Time, bvgate.Finish)                                {}
func (baseline *baseline) Adopt(bvclock.Time, bvgate.Request, string)                        {}
func (baseline *baseline) EndProgram(now bvclock.Time, member, program string)               {}
func (baseline *baseline) ConfirmRelease(now bvclock.Time, endpoint, member, program string) {}
func (baseline *baseline) NextTick() bvclock.Time                                            { return 0 }

func (baseline *baseline) UpdateEndpoint(_ bvclock.Time, report bvgate.EndpointReport) {
	at, found := baseline.find(report.Name)
	if found {
		baseline.endpoints[at] = report
		return
	}
	baseline.endpoints = append(baseline.endpoints, report)
	sortByName(baseline.endpoints)
}

func (baseline *baseline) RemoveEndpoint(_ bvclock.Time, endpoint string) {
	if at, found := baseline.find(endpoint); found {
		baseline.endpoints = append(baseline.endpoints[:at], baseline.endpoints[at+1:]...)
	}
}

func (baseline *baseline) find(name string) (int, bool) {
	for at, endpoint := range baseline.endpoints {
		if endpoint.Name == name {
			return at, true
		}
	}
	return 0, false
}

// usable returns the endpoints that are not leaving, or all of them if all are leaving.
func (baseline *baseline) usable() []bvgate.EndpointReport {
	usable := make([]bvgate.EndpointReport, 0, len(baseline.endpoints))
	for _, endpoint := range baseline.endpoints {
		if !endpoint.Leaving {
			usable = append(usable, endpoint)
		}
	}
	if len(usable) == 0 {
		return baseline.endpoints
	}
	return usable
}

func (baseline *baseline) send(id bvgate.RequestID, endpoint string) {
	baseline.effects = append(baseline.effects, bvgate.Grant{Request: id, Endpoint: endpoint})
}

// Tick implements Policy.
func (baseline *baseline) Tick(bvclock.Time) []bvgate.Effect {
	effects := baseline.effects
	baseline.effects = nil
	return effects
}

const retryWithoutEndpoint = bvclock.Second

func (baseline *baseline) refuseWithoutEndpoint(id bvgate.RequestID) {
	err := bvverdict.Refuse(bvverdict.Overloaded, "no endpoint").WithRetryAfter(retryWithoutEndpoint)
	baseline.effects = append(baseline.effects, bvgate.Refusal{Request: id, Err: err})
}
