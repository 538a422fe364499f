// Package bvpermit carries permits between the owners of programs and the
// hosts that decide for a pool of endpoints.
//
// Server is the deciding side: it runs the bvgate decisions of each pool that
// it is asked for. Client is the asking side: it finds the deciding host of a
// pool, asks, and stays in touch while the call runs. An owner calls the
// endpoint itself, so a deciding host that dies cuts no stream.
//
// # Usage
//
//	server := bvpermit.NewServer(clock, release, bvgate.Limits{}, log)
//	server.Update(endpoints, shares)
//	client := bvpermit.NewClient(clock, view, peers, server, log)
//	permit, err := client.Acquire(ctx, ask)
//	permit.MarkUsed()
//	defer permit.Finish(outcome)
package bvpermit

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// Release tells the endpoint at address to drop what it caches for a program
// and reports whether it confirmed.
type Release func(address, member, program string) bool

// Server decides for the pools that this host is asked for.
type Server struct {
	clock     bvclock.Clock
	release   Release
	share     func(ctx context.Context, pool string) // tells other hosts of a pool's suspects
	limits    bvgate.Limits
	log       logrus.FieldLogger
	requests  atomic.Uint64
	mutex     sync.Mutex
	pools     map[string]*pool
	endpoints map[string][]bvplatform.Endpoint
	shares    []bvgate.MemberShare
}

// NewServer returns a server without endpoints.
func NewServer(clock bvclock.Clock, release Release, limits bvgate.Limits, log logrus.FieldLogger) *Server {
	return &Server{clock: clock, release: release, limits: limits, log: log, pools: make(map[string]*pool)}
}

// PoolOf names the pool that an endpoint belongs to: endpoints of one model or
// one service.
func PoolOf(endpoint bvplatform.Endpoint) string {
	return PoolName(endpoint.Kind, endpoint.Serves)
}

// PoolName names the pool of a model or service.
func PoolName(kind bvplatform.EndpointKind, serves string) string {
	return kind.String() + "/" + serves
}

// Update takes over the list of endpoints and the members' shares.
func (server *Server) Update(endpoints []bvplatform.Endpoint, shares []bvgate.MemberShare) {
	byPool := make(map[string][]bvplatform.Endpoint)
	for _, endpoint := range endpoints {
		name := PoolOf(endpoint)
		byPool[name] = append(byPool[name], endpoint)
	}
	server.mutex.Lock()
	server.endpoints = byPool
	server.shares = shares
	pools := make([]*pool, 0, len(server.pools))
	for _, pool := range server.pools {
		pools = append(pools, pool)
	}
	server.mutex.Unlock()
	for _, pool := range pools {
		pool.update(byPool[pool.name], shares)
	}
}

// Serves reports whether any endpoint of the pool is known.
func (server *Server) HasEndpoints(name string) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.endpoints[name]) > 0
}

// Ask enters a request at its pool.
func (server *Server) Submit(ask *bvpeer.PermitAsk) *Ticket {
	return server.pool(ask.GetPool()).ask(ask)
}

// EndProgram tells a pool that a program has ended.
func (server *Server) EndProgram(name, member, program string) {
	pool := server.pool(name)
	pool.do(func(now bvclock.Time) { pool.decisions.EndProgram(now, member, program) })
}

func (server *Server) pool(name string) *pool {
	server.mutex.Lock()
	found, ok := server.pools[name]
	endpoints, shares := server.endpoints[name], server.shares
	if !ok {
		found = newPool(name, server)
		server.pools[name] = found
	}
	server.mutex.Unlock()
	if !ok {
		found.update(endpoints, shares)
	}
	return found
}

func (server *Server) nextRequest() bvgate.RequestID {
	return bvgate.RequestID(server.requests.Add(1))
}

// Serve answers one owner's permit stream.
func (server *Server) Serve(stream bvpeer.Peer_PermitServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	ask := first.GetAsk()
	if ask == nil {
		return stream.Send(refusalOf(bvverdict.Refuse(bvverdict.BadRequest, "permit stream must begin with an ask")))
	}
	if ask.GetRunningOn() == "" {
		server.tellBefore(stream.Context(), ask)
	}
	ticket := server.Submit(ask)
	events := receive(stream)
	if ask.GetRunningOn() == "" {
		if !server.decide(stream, ticket, events) {
			return nil
		}
	}
	server.follow(ticket, events)
	return nil
}

// decide waits for the decision and reports whether it was a grant that
// reached the owner.
func (server *Server) decide(stream bvpeer.Peer_PermitServer, ticket *Ticket, events <-chan *bvpeer.PermitEvent) bool {
	_, span := bvtrace.Start(stream.Context(), "queue")
	defer span.End(nil)
	select {
	case decision := <-ticket.Decision():
		granted := decision.GetGrant() != nil
		bvtrace.LogHop(stream.Context(), server.log, "permit decided", errorOf(decision),
			"endpoint", decision.GetGrant().GetEndpoint())
		if err := stream.Send(decision); err != nil {
			ticket.Finish(unused())
			return false
		}
		return granted
	case <-events:
		// The owner sends nothing before the decision: the stream has ended.
		ticket.Withdraw()
		return false
	}
}

// errorOf returns the refusal of a decision; nil if it is a grant.
func errorOf(decision *bvpeer.PermitDecision) error {
	if failure := decision.GetRefusal(); failure != nil {
		return bvpeer.ErrorOf(failure)
	}
	return nil
}

// follow keeps a granted permit until its owner reports the end. When the
// stream breaks without a report, the owner is gone, or has lost this host and
// asks another one to adopt the call: either way the slot is given back here.
func (server *Server) follow(ticket *Ticket, events <-chan *bvpeer.PermitEvent) {
	for event := range events {
		if event.GetUsed() != nil {
			ticket.MarkUsed()
		}
		if finish := event.GetFinish(); finish != nil {
			ticket.Finish(finish)
			return
		}
	}
	ticket.Finish(&bvpeer.PermitFinish{Outcome: int32(bvgate.Canceled)})
}

// receive forwards events until the stream ends, then closes the channel.
func receive(stream bvpeer.Peer_PermitServer) <-chan *bvpeer.PermitEvent {
	events := make(chan *bvpeer.PermitEvent)
	go func() {
		defer close(events)
		for {
			event, err := stream.Recv()
			if errors.Is(err, io.EOF) || err != nil {
				return
			}
			select {
			case events <- event:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	return events
}

func unused() *bvpeer.PermitFinish {
	return &bvpeer.PermitFinish{Outcome: int32(bvgate.Unused)}
}

func refusalOf(err error) *bvpeer.PermitDecision {
	return &bvpeer.PermitDecision{Decision: &bvpeer.PermitDecision_Refusal{Refusal: bvpeer.FailureOf(err)}}
}
