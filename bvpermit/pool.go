package bvpermit

import (
	"sync"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
)

// pool runs the decisions of one bvgate.Pool: it feeds events in, ticks, and
// hands the effects on. All access to the decisions is under the mutex.
type pool struct {
	name      string
	server    *Server
	mutex     sync.Mutex
	decisions bvgate.Pool
	tickets   map[bvgate.RequestID]*Ticket
	addresses map[string]string
	work      workLog
	alarm     bvclock.Alarm
	telling   sync.Mutex // held while other hosts are told of suspects
	told      uint64     // crashes that they were told of; under telling
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

// update takes over the list of endpoints and the members' shares.
func (pool *pool) update(endpoints []bvplatform.Endpoint, shares []bvgate.MemberShare) {
	pool.do(func(now bvclock.Time) {
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
		pool.work.sample(now, &pool.decisions)
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

// do applies an event and carries out what the decisions then want.
func (pool *pool) do(event func(now bvclock.Time)) {
	pool.mutex.Lock()
	now := pool.server.clock.Now()
	event(now)
	effects := pool.decisions.Tick(now)
	pool.schedule(now)
	deliveries := pool.collect(now, effects)
	pool.mutex.Unlock()
	for _, deliver := range deliveries {
		deliver()
	}
}

// schedule arranges the tick that time alone calls for.
func (pool *pool) schedule(now bvclock.Time) {
	next := pool.decisions.NextTick()
	if next == 0 {
		pool.alarm.Clear()
		return
	}
	pool.alarm.Set(now, next, func() { pool.do(func(bvclock.Time) {}) })
}

func (pool *pool) collect(now bvclock.Time, effects []bvgate.Effect) []func() {
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
	failure := bvpeer.FailureOf(refusal.Err)
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
	pool.do(func(now bvclock.Time) {
		pool.decisions.ConfirmRelease(now, release.Endpoint, release.Member, release.Program)
	})
}

// ask enters a request, or one that already runs on an endpoint.
func (pool *pool) ask(ask *bvpeer.PermitAsk) *Ticket {
	ticket := &Ticket{pool: pool, decision: make(chan *bvpeer.PermitDecision, 1)}
	ticket.id = pool.server.nextRequest()
	pool.do(func(now bvclock.Time) {
		pool.tickets[ticket.id] = ticket
		request := requestOf(ticket.id, ask, now)
		if ask.GetRunningOn() != "" {
			pool.decisions.Adopt(now, request, ask.GetRunningOn())
			return
		}
		pool.decisions.Submit(now, request)
	})
	return ticket
}

func requestOf(id bvgate.RequestID, ask *bvpeer.PermitAsk, now bvclock.Time) bvgate.Request {
	request := bvgate.Request{
		ID:              id,
		Member:          ask.GetMember(),
		Class:           ask.GetClass(),
		Program:         ask.GetProgram(),
		Priority:        int(ask.GetPriority()),
		AttainedService: bvgate.Work(ask.GetAttained()),
		PromptTokens:    int(ask.GetPromptTokens()),
		OutputTokens:    int(ask.GetOutputTokens()),
		HistoryEndpoint: ask.GetHistoryFrom(),
		HistoryTokens:   int(ask.GetHistoryHeld()),
		Fingerprint:     ask.GetFingerprint(),
		Unrepeatable:    ask.GetUnrepeatable(),
		Attempt:         int(ask.GetAttempt()),
	}
	if ask.GetDeadlineMs() > 0 {
		request.Deadline = now.Add(bvclock.Duration(ask.GetDeadlineMs()))
	}
	return request
}
