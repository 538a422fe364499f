package bvexperiment

import (
	"fmt"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvmodel"
)

// endpoint is a model engine with its zone and its lifecycle state.
type endpoint struct {
	name        string
	zone        string
	model       *bvmodel.Engine
	incarnation int
	down        bool
	stopped     bool // will not restart
	leaving     bool
	leavingAt   bvclock.Time
	listed      bool // the list of live endpoints shows it
	nextAt      bvclock.Time
	hasNext     bool
}

func newEndpoints(pool poolSize) []*endpoint {
	endpoints := make([]*endpoint, pool.engines)
	for at := range endpoints {
		endpoints[at] = &endpoint{
			name:   fmt.Sprintf("engine-%02d", at),
			zone:   fmt.Sprintf("zone-%d", at%pool.zones),
			model:  bvmodel.New(pool.config),
			listed: true,
		}
	}
	return endpoints
}

// updateNextEvent must be called after each change of the model.
func (endpoint *endpoint) updateNextEvent() {
	endpoint.nextAt, endpoint.hasNext = endpoint.model.Next()
}

// report returns the endpoint's report at a time.
func (endpoint *endpoint) report(now bvclock.Time) bvgate.EndpointReport {
	return bvgate.EndpointReport{
		Name:        endpoint.name,
		Incarnation: fmt.Sprintf("%s/%d", endpoint.name, endpoint.incarnation),
		Slots:       endpoint.model.Config().Slots,
		CacheTokens: endpoint.model.Config().CacheTokens,
		Running:     endpoint.model.RunningCalls() + endpoint.model.WaitingCalls(),
		ReportedAt:  now,
		Zone:        endpoint.zone,
	}
}
