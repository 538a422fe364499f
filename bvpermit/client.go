package bvpermit

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// maxHostsPerRequest bounds how many hosts are queried for one permit.
const maxHostsPerRequest = 3

// unreachableRetryAfter is the retry time when no deciding host could be reached: the
// platform's list shows the loss of a host within this time.
const unreachableRetryAfter = 3 * bvclock.Second

// Client requests permits from the deciding hosts. It is safe for concurrent use.
type Client struct {
	clock        bvclock.Clock
	view         *bvhost.View
	peers        *bvpeer.Pool
	local        *Server
	log          logrus.FieldLogger
	suspectsSent atomic.Int64 // suspect lists delivered to other hosts
}

// NewClient returns a client; local decides for the pools of this host.
func NewClient(clock bvclock.Clock, view *bvhost.View, peers *bvpeer.Pool, local *Server, log logrus.FieldLogger) *Client {
	client := &Client{clock: clock, view: view, peers: peers, local: local, log: log}
	if local != nil {
		local.sendSuspects = client.sendSuspects
	}
	return client
}

// Permit allows its holder to make one call.
type Permit struct {
	client    *Client
	request   *bvpeer.PermitAsk
	endpoint  string
	address   string
	priority  int
	expiresAt bvclock.Time
	mutex     sync.Mutex
	link      link
	finished  bool
}

// link reports to the host that decided.
type link interface {
	markUsed()
	finish(*bvpeer.PermitFinish)
}

// Endpoint returns the name of the endpoint to call.
func (permit *Permit) Endpoint() string { return permit.endpoint }

// Address returns the IP and port of the endpoint to call.
func (permit *Permit) Address() string { return permit.address }

// Priority returns the priority to pass to the endpoint.
func (permit *Permit) Priority() int { return permit.priority }

// IsValid reports whether the permit may still be used. A holder that was paused past
// its expiry must request a new permit: the slot has been granted to another call.
func (permit *Permit) IsValid() bool {
	return permit.client.clock.Now().Before(permit.expiresAt)
}

// MarkUsed reports that the call is sent.
func (permit *Permit) MarkUsed() {
	permit.mutex.Lock()
	defer permit.mutex.Unlock()
	permit.link.markUsed()
}

// Finish reports how the call ended. Only the first report counts.
func (permit *Permit) Finish(finish *bvpeer.PermitFinish) {
	permit.mutex.Lock()
	defer permit.mutex.Unlock()
	if permit.finished {
		return
	}
	permit.finished = true
	permit.link.finish(finish)
}

// Acquire waits for a permit. Its errors are *bvverdict.Error with verdict NotRun: no
// call was sent to an endpoint.
func (client *Client) Acquire(ctx context.Context, request *bvpeer.PermitAsk) (*Permit, error) {
	ctx, span := bvtrace.Start(ctx, "permit")
	permit, err := client.acquire(ctx, request)
	span.End(err)
	endpoint := ""
	if err == nil {
		endpoint = permit.Endpoint()
	}
	bvtrace.LogHop(ctx, client.log, "permit asked for", err, "pool", request.GetPool(), "endpoint", endpoint)
	return permit, err
}

func (client *Client) acquire(ctx context.Context, request *bvpeer.PermitAsk) (*Permit, error) {
	queried := 0
	for _, host := range client.view.Candidates(client.clock.Now(), "pool/"+request.GetPool()) {
		if host.State != bvplatform.HostLive && host.Name != client.view.Self().Name {
			continue
		}
		if queried == maxHostsPerRequest {
			break
		}
		queried++
		permit, reached, err := client.requestFrom(ctx, host, request)
		if reached {
			return permit, err
		}
		if ctx.Err() != nil {
			return nil, bvverdict.Refuse(bvverdict.Canceled, "request canceled before a permit was granted").WithCause(ctx.Err())
		}
		client.markUnreachable(host.Name)
	}
	return nil, bvverdict.Refuse(bvverdict.Overloaded, "no deciding host of %s is reachable", request.GetPool()).
		WithRetryAfter(unreachableRetryAfter)
}

func (client *Client) markUnreachable(host string) {
	if client.view.MarkUnreachable(client.clock.Now(), host) {
		client.log.WithField("host", host).Warn("deciding host can't be reached")
	}
}

// requestFrom requests a permit from one host; reached is false if the host returned no
// decision.
func (client *Client) requestFrom(ctx context.Context, host bvplatform.Host, request *bvpeer.PermitAsk) (permit *Permit, reached bool, err error) {
	if host.Name == client.view.Self().Name {
		permit, err = client.requestLocal(ctx, request)
		return permit, true, err
	}
	return client.requestRemote(ctx, host, request)
}

func (client *Client) requestLocal(ctx context.Context, request *bvpeer.PermitAsk) (*Permit, error) {
	_, span := bvtrace.Start(ctx, "queue")
	defer span.End(nil)
	client.local.sendBeforeRun(ctx, request)
	ticket := client.local.Submit(request)
	select {
	case decision := <-ticket.Decision():
		return client.permitOf(request, decision, localLink{ticket})
	case <-ctx.Done():
		ticket.Withdraw()
		return nil, bvverdict.Refuse(bvverdict.Canceled, "request canceled before a permit was granted").WithCause(ctx.Err())
	}
}

func (client *Client) permitOf(request *bvpeer.PermitAsk, decision *bvpeer.PermitDecision, link link) (*Permit, error) {
	grant := decision.GetGrant()
	if grant == nil {
		return nil, bvpeer.DecodeFailure(decision.GetRefusal())
	}
	return &Permit{
		client:    client,
		request:   request,
		endpoint:  grant.GetEndpoint(),
		address:   grant.GetAddress(),
		priority:  int(grant.GetPriority()),
		expiresAt: client.clock.Now().Add(bvclock.Duration(grant.GetLapseMs()) / 2), // the other half allows for transit
		link:      link,
	}, nil
}

// Adopt returns the permit of a call that already runs on an endpoint.
func (client *Client) Adopt(ctx context.Context, request *bvpeer.PermitAsk, endpoint, address string) *Permit {
	permit := &Permit{client: client, request: request, endpoint: endpoint, address: address}
	permit.link = client.adopt(ctx, request, endpoint)
	if link, remote := permit.link.(remoteLink); remote {
		go permit.watch(link)
	}
	return permit
}

// EndProgram notifies the deciding host of a pool that a program has ended. It is a
// hint: the owner keeps the durable record of the end.
func (client *Client) EndProgram(ctx context.Context, pool, member, program string) {
	for _, host := range client.view.Candidates(client.clock.Now(), "pool/"+pool) {
		if host.Name == client.view.Self().Name {
			client.local.EndProgram(pool, member, program)
			return
		}
		peer, err := client.peers.Peer(host.PeerAddress)
		if err != nil {
			continue
		}
		request := &bvpeer.ReportEndRequest{Pool: pool, Member: member, Program: program}
		if _, err := peer.ReportEnd(ctx, request); err == nil {
			return
		}
	}
}
