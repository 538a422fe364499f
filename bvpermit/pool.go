package bvpermit

import (
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
)

// pool drives one bvgate.Pool: it applies events, runs Tick and delivers the effects.
// The mutex guards all access to the decisions.
type pool struct {
	name        string
	server      *Server
	mutex       sync.Mutex
	decisions   bvgate.Pool
	tickets     map[bvgate.RequestID]*Ticket
	addresses   map[string]string
	workLog     workLog
	alarm       bvclock.Timer
	sendMutex   sync.Mutex // held while suspects are sent to other hosts
	sentCrashes uint64     // suspect crashes already sent to other hosts; guarded by sendMutex
}

func newPool(name string, server *Server) *pool {
	pool := &pool{
		name:      name,
		server:    server,
		tickets:   make(map[bvgate.RequestID]*Ticket),
		addresses: make(map[string]string),
	}
	pool.decisions.SetLimits(server.limits)
	return pool
}

// update applies the list of endpoints and the members' shares.
func (pool *pool) update(endpoints []bvplatform.Endpoint, shares []bvgate.MemberShare) {
	pool.apply(func(now bvclock.Time) {
		pool.decisions.SetMembers(shares)
		listed := make(map[string]bool, len(endpoints))
		for _, endpoint := range endpoints {
			listed[endpoint.Name] = true
			pool.addresses[endpoint.Name] = endpoint.Address
			pool.decisions.UpdateEndpoint(now, reportOf(endpoint, now))
		}
		for name := range pool.addresses {
			if !listed[name] {
				delete(pool.addresses, name)
				pool.decisions.RemoveEndpoint(now, name)
			}
		}
		pool.workLog.sample(now, &pool.decisions)
	})
}

func reportOf(endpoint bvplatform.Endpoint, now bvclock.Time) bvgate.EndpointReport {
	return bvgate.EndpointReport{
		Name:        endpoint.Name,
		Incarnation: endpoint.Incarnation,
		Slots:       endpoint.Slots,
		CacheTokens: endpoint.CacheTokens,
		ReportedAt:  now,
		Zone:        endpoint.Zone,
		Leaving:     endpoint.State == bvplatform.HostLeaving,
	}
}

// apply applies an event and carries out the resulting effects.
func (pool *pool) apply(event func(now bvclock.Time)) {
	pool.mutex.Lock()
	now := pool.server.clock.Now()
	event(now)
	effects := pool.decisions.Tick(now)
	pool.schedule(now)
	deliveries := pool.prepareDeliveries(now, effects)
	pool.mutex.Unlock()
	for _, deliver := range deliveries {
		deliver()
	}
}

// schedule sets the alarm for the next tick that is due without an event.
func (pool *pool) schedule(now bvclock.Time) {
	next := pool.decisions.NextTick()
	if next == 0 {
		pool.alarm.Stop()
		return
	}
	pool.alarm.Set(now, next, func() { pool.apply(func(bvclock.Time) {}) })
}

func (pool *pool) prepareDeliveries(now bvclock.Time, effects []bvgate.Effect) []func() {
	var deliveries []func()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case bvgate.Grant:
			deliveries = append(deliveries, pool.grant(now, effect))
		case bvgate.Refusal:
			deliveries = append(deliveries, pool.refuse(effect))
		case bvgate.Release:
			address := pool.addresses[effect.Endpoint]
			deliveries = append(deliveries, func() { go pool.release(effect, address) })
		}
	}
	return deliveries
}

func (pool *pool) grant(now bvclock.Time, grant bvgate.Grant) func() {
	ticket, found := pool.tickets[grant.Request]
	if !found {
		return func() {}
	}
	decision := &bvpeer.PermitDecision{Decision: &bvpeer.PermitDecision_Grant{Grant: &bvpeer.PermitGrant{
		Endpoint: grant.Endpoint,
		Address:  pool.addresses[grant.Endpoint],
		LapseMs:  int64(grant.Expires.Sub(now)),
		Priority: int32(grant.Priority),
	}}}
	return func() { ticket.deliver(decision) }
}

func (pool *pool) refuse(refusal bvgate.Refusal) func() {
	ticket, found := pool.tickets[refusal.Request]
	if !found {
		return func() {}
	}
	delete(pool.tickets, refusal.Request)
	failure := bvpeer.EncodeFailure(refusal.Err)
	decision := &bvpeer.PermitDecision{Decision: &bvpeer.PermitDecision_Refusal{Refusal: failure}}
	return func() { ticket.deliver(decision) }
}

func (pool *pool) release(release bvgate.Release, address string) {
	if address == "" {
		return
	}
	if !pool.server.release(address, release.Member, release.Program) {
		return
	}
	pool.apply(func(now bvclock.Time) {
		pool.decisions.ConfirmRelease(now, release.Endpoint, release.Member, release.Program)
	})
}

// submit submits a request, or adopts one that already runs on an endpoint.
func (pool *pool) submit(request *bvpeer.PermitAsk) *Ticket {
	ticket := &Ticket{pool: pool, decision: make(chan *bvpeer.PermitDecision, 1)}
	ticket.id = pool.server.nextRequest()
	pool.apply(func(now bvclock.Time) {
		pool.tickets[ticket.id] = ticket
		converted := requestOf(ticket.id, request, now)
		if request.GetRunningOn() != "" {
			pool.decisions.Adopt(now, converted, request.GetRunningOn())
			return
		}
		pool.decisions.Submit(now, converted)
	})
	return ticket
}

func requestOf(id bvgate.RequestID, request *bvpeer.PermitAsk, now bvclock.Time) bvgate.Request {
	converted := bvgate.Request{
		ID:              id,
		Member:          request.GetMember(),
		Class:           request.GetClass(),
		Program:         request.GetProgram(),
		Priority:        int(request.GetPriority()),
		AttainedService: bvgate.Work(request.GetAttained()),
		PromptTokens:    int(request.GetPromptTokens()),
		OutputTokens:    int(request.GetOutputTokens()),
		HistoryEndpoint: request.GetHistoryFrom(),
		HistoryTokens:   int(request.GetHistoryHeld()),
		Fingerprint:     request.GetFingerprint(),
		Unrepeatable:    request.GetUnrepeatable(),
		Attempt:         int(request.GetAttempt()),
	}
	if request.GetDeadlineMs() > 0 {
		converted.Deadline = now.Add(bvclock.Duration(request.GetDeadlineMs()))
	}
	return converted
}
