// Package bvpermit carries permits between the owners of programs and the
// hosts that decide for a pool of endpoints.
//
// Server is the deciding side: it runs the bvgate decisions of each pool for which it
// receives requests. Client is the requesting side: it finds the deciding host of a pool,
// requests a permit, and reports to that host while the call runs. An owner calls the
// endpoint itself, so the failure of a deciding host breaks no stream.
//
// # Usage
//
//	server := bvpermit.NewServer(clock, release, bvgate.Limits{}, log)
//	server.Update(endpoints, shares)
//	client := bvpermit.NewClient(clock, view, peers, server, log)
//	permit, err := client.Acquire(ctx, request)
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

// Release instructs the endpoint at address to drop a program's cached prefix and
// reports whether it confirmed.
type Release func(address, member, program string) bool

// Server decides for the pools for which this host receives requests.
type Server struct {
	clock        bvclock.Clock
	release      Release
	sendSuspects func(ctx context.Context, pool string) // sends a pool's suspects to other hosts
	limits       bvgate.Limits
	log          logrus.FieldLogger
	requests     atomic.Uint64
	mutex        sync.Mutex
	pools        map[string]*pool
	endpoints    map[string][]bvplatform.Endpoint
	shares       []bvgate.MemberShare
}

// NewServer returns a server without endpoints.
func NewServer(clock bvclock.Clock, release Release, limits bvgate.Limits, log logrus.FieldLogger) *Server {
	return &Server{clock: clock, release: release, limits: limits, log: log, pools: make(map[string]*pool)}
}

// PoolOf returns the name of an endpoint's pool: all endpoints of one model or one
// service.
func PoolOf(endpoint bvplatform.Endpoint) string {
	return PoolName(endpoint.Kind, endpoint.Serves)
}

// PoolName returns the name of the pool of a model or service.
func PoolName(kind bvplatform.EndpointKind, serves string) string {
	return kind.String() + "/" + serves
}

// Update applies the list of endpoints and the members' shares.
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

// HasEndpoints reports whether any endpoint of the pool is known.
func (server *Server) HasEndpoints(name string) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return len(server.endpoints[name]) > 0
}

// Submit submits a request to its pool.
func (server *Server) Submit(request *bvpeer.PermitAsk) *Ticket {
	return server.pool(request.GetPool()).submit(request)
}

// EndProgram notifies a pool that a program has ended.
func (server *Server) EndProgram(name, member, program string) {
	pool := server.pool(name)
	pool.apply(func(now bvclock.Time) { pool.decisions.EndProgram(now, member, program) })
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

// Serve handles one owner's permit stream.
func (server *Server) Serve(stream bvpeer.Peer_PermitServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	request := first.GetAsk()
	if request == nil {
		return stream.Send(refusalOf(bvverdict.Refuse(bvverdict.BadRequest, "permit stream must begin with a permit request")))
	}
	if request.GetRunningOn() == "" {
		server.sendBeforeRun(stream.Context(), request)
	}
	ticket := server.Submit(request)
	events := receiveEvents(stream)
	if request.GetRunningOn() == "" {
		if !server.awaitDecision(stream, ticket, events) {
			return nil
		}
	}
	server.awaitFinish(ticket, events)
	return nil
}

// awaitDecision waits for the decision and reports whether it was a grant that was sent
// to the owner.
func (server *Server) awaitDecision(stream bvpeer.Peer_PermitServer, ticket *Ticket, events <-chan *bvpeer.PermitEvent) bool {
	_, span := bvtrace.Start(stream.Context(), "queue")
	defer span.End(nil)
	select {
	case decision := <-ticket.Decision():
		granted := decision.GetGrant() != nil
		bvtrace.LogHop(stream.Context(), server.log, "permit decided", errorOf(decision),
			"endpoint", decision.GetGrant().GetEndpoint())
		if err := stream.Send(decision); err != nil {
			ticket.Finish(unusedFinish())
			return false
		}
		return granted
	case <-events:
		// The owner sends no event before the decision, so the stream has ended.
		ticket.Withdraw()
		return false
	}
}

// errorOf returns the refusal in a decision, or nil for a grant.
func errorOf(decision *bvpeer.PermitDecision) error {
	if failure := decision.GetRefusal(); failure != nil {
		return bvpeer.DecodeFailure(failure)
	}
	return nil
}

// awaitFinish applies the owner's reports on a granted permit until the call ends. When
// the stream breaks without a final report, the owner has failed, or it has lost this
// host and another host adopts the call: in both cases the slot is freed here.
func (server *Server) awaitFinish(ticket *Ticket, events <-chan *bvpeer.PermitEvent) {
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

// receiveEvents forwards events until the stream ends, then closes the channel.
func receiveEvents(stream bvpeer.Peer_PermitServer) <-chan *bvpeer.PermitEvent {
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

func unusedFinish() *bvpeer.PermitFinish {
	return &bvpeer.PermitFinish{Outcome: int32(bvgate.Unused)}
}

func refusalOf(err error) *bvpeer.PermitDecision {
	return &bvpeer.PermitDecision{Decision: &bvpeer.PermitDecision_Refusal{Refusal: bvpeer.EncodeFailure(err)}}
}
