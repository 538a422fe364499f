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

// asksPerRequest bounds how many hosts are asked for one permit.
const asksPerRequest = 3

// retryAfterNoDecider is told when no deciding host could be reached: the
// platform's list shows the loss within this time.
const retryAfterNoDecider = 3 * bvclock.Second

// Client asks the deciding hosts for permits. It is safe for concurrent use.
type Client struct {
	clock bvclock.Clock
	view  *bvhost.View
	peers *bvpeer.Pool
	local *Server
	log   logrus.FieldLogger
	told  atomic.Int64 // times that a host took suspects
}

// NewClient returns a client; local decides for the pools of this host.
func NewClient(clock bvclock.Clock, view *bvhost.View, peers *bvpeer.Pool, local *Server, log logrus.FieldLogger) *Client {
	client := &Client{clock: clock, view: view, peers: peers, local: local, log: log}
	if local != nil {
		local.share = client.share
	}
	return client
}

// Permit lets its holder make one call.
type Permit struct {
	client   *Client
	ask      *bvpeer.PermitAsk
	endpoint string
	address  string
	priority int
	lapses   bvclock.Time
	mutex    sync.Mutex
	line     line
	finished bool
}

// line is the way to the host that decided.
type line interface {
	use()
	finish(*bvpeer.PermitFinish)
}

// Endpoint returns the name of the endpoint to call.
func (permit *Permit) Endpoint() string { return permit.endpoint }

// Address returns the IP and port of the endpoint to call.
func (permit *Permit) Address() string { return permit.address }

// Priority returns the priority that the endpoint is to give the call.
func (permit *Permit) Priority() int { return permit.priority }

// Valid reports whether the permit may still be used. A holder that was paused
// past the lapse must ask again: its slot has been given to another call.
func (permit *Permit) IsValid() bool {
	return permit.client.clock.Now().Before(permit.lapses)
}

// Use reports that the call is sent.
func (permit *Permit) MarkUsed() {
	permit.mutex.Lock()
	defer permit.mutex.Unlock()
	permit.line.use()
}

// Finish reports how the call ended. Only the first report counts.
func (permit *Permit) Finish(finish *bvpeer.PermitFinish) {
	permit.mutex.Lock()
	defer permit.mutex.Unlock()
	if permit.finished {
		return
	}
	permit.finished = true
	permit.line.finish(finish)
}

// Acquire waits for a permit. Its errors are *bvverdict.Error with verdict
// NotRun: nothing was sent to an endpoint.
func (client *Client) Acquire(ctx context.Context, ask *bvpeer.PermitAsk) (*Permit, error) {
	ctx, span := bvtrace.Start(ctx, "permit")
	permit, err := client.acquire(ctx, ask)
	span.End(err)
	endpoint := ""
	if err == nil {
		endpoint = permit.Endpoint()
	}
	bvtrace.LogHop(ctx, client.log, "permit asked for", err, "pool", ask.GetPool(), "endpoint", endpoint)
	return permit, err
}

func (client *Client) acquire(ctx context.Context, ask *bvpeer.PermitAsk) (*Permit, error) {
	asked := 0
	for _, host := range client.view.Candidates(client.clock.Now(), "pool/"+ask.GetPool()) {
		if host.State != bvplatform.HostLive && host.Name != client.view.Self().Name {
			continue
		}
		if asked == asksPerRequest {
			break
		}
		asked++
		permit, reached, err := client.askHost(ctx, host, ask)
		if reached {
			return permit, err
		}
		if ctx.Err() != nil {
			return nil, bvverdict.Refuse(bvverdict.Canceled, "given up before a permit was granted").WithCause(ctx.Err())
		}
		client.distrust(host.Name)
	}
	return nil, bvverdict.Refuse(bvverdict.Overloaded, "no host that decides for %s could be reached", ask.GetPool()).
		WithRetryAfter(retryAfterNoDecider)
}

func (client *Client) distrust(host string) {
	if client.view.MarkUnreachable(client.clock.Now(), host) {
		client.log.WithField("host", host).Warn("deciding host can't be reached")
	}
}

// askHost asks one host; reached is false when the host gave no decision.
func (client *Client) askHost(ctx context.Context, host bvplatform.Host, ask *bvpeer.PermitAsk) (permit *Permit, reached bool, err error) {
	if host.Name == client.view.Self().Name {
		permit, err = client.askLocal(ctx, ask)
		return permit, true, err
	}
	return client.askRemote(ctx, host, ask)
}

func (client *Client) askLocal(ctx context.Context, ask *bvpeer.PermitAsk) (*Permit, error) {
	_, span := bvtrace.Start(ctx, "queue")
	defer span.End(nil)
	client.local.tellBefore(ctx, ask)
	ticket := client.local.Submit(ask)
	select {
	case decision := <-ticket.Decision():
		return client.permitOf(ask, decision, localLine{ticket})
	case <-ctx.Done():
		ticket.Withdraw()
		return nil, bvverdict.Refuse(bvverdict.Canceled, "given up before a permit was granted").WithCause(ctx.Err())
	}
}

func (client *Client) permitOf(ask *bvpeer.PermitAsk, decision *bvpeer.PermitDecision, line line) (*Permit, error) {
	grant := decision.GetGrant()
	if grant == nil {
		return nil, bvpeer.ErrorOf(decision.GetRefusal())
	}
	return &Permit{
		client:   client,
		ask:      ask,
		endpoint: grant.GetEndpoint(),
		address:  grant.GetAddress(),
		priority: int(grant.GetPriority()),
		lapses:   client.clock.Now().Add(bvclock.Duration(grant.GetLapseMs()) / 2), // the rest is for the way there and back
		line:     line,
	}, nil
}

// Adopt returns the permit of a call that already runs on an endpoint.
func (client *Client) Adopt(ctx context.Context, ask *bvpeer.PermitAsk, endpoint, address string) *Permit {
	permit := &Permit{client: client, ask: ask, endpoint: endpoint, address: address}
	permit.line = client.adopt(ctx, ask, endpoint)
	if line, remote := permit.line.(remoteLine); remote {
		go permit.watch(line)
	}
	return permit
}

// EndProgram tells the deciding host of a pool that a program has ended. It is
// a hint: the durable record of the end is its owner's.
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
