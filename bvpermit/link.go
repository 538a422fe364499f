package bvpermit

import (
	"context"

	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
)

// localLink reports to this host's own server.
type localLink struct {
	ticket *Ticket
}

func (link localLink) markUsed() { link.ticket.MarkUsed() }

func (link localLink) finish(finish *bvpeer.PermitFinish) { link.ticket.Finish(finish) }

// remoteLink reports over a permit stream.
type remoteLink struct {
	host   bvplatform.Host
	stream bvpeer.Peer_PermitClient
	cancel context.CancelFunc
}

func (link remoteLink) markUsed() {
	_ = link.stream.Send(&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Used{Used: &bvpeer.PermitUsed{}}})
}

// finish leaves the stream open until the server has read the report: a cancellation
// could overtake the report, and the server would treat this host as failed.
func (link remoteLink) finish(finish *bvpeer.PermitFinish) {
	_ = link.stream.Send(&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Finish{Finish: finish}})
	_ = link.stream.CloseSend()
}

// noLink discards reports: no deciding host was reachable.
type noLink struct{}

func (noLink) markUsed() {}

func (noLink) finish(*bvpeer.PermitFinish) {}

// requestRemote requests a permit from another host. The stream outlives ctx: it
// carries the reports while the call runs.
func (client *Client) requestRemote(ctx context.Context, host bvplatform.Host, request *bvpeer.PermitAsk) (permit *Permit, reached bool, err error) {
	link, err := client.open(ctx, host, request)
	if err != nil {
		return nil, false, nil
	}
	stop := context.AfterFunc(ctx, link.cancel)
	decision, err := link.stream.Recv()
	inTime := stop()
	if err != nil || !inTime {
		link.cancel()
		return nil, false, nil
	}
	client.view.MarkReachable(host.Name)
	permit, err = client.permitOf(request, decision, link)
	if err != nil {
		link.cancel()
		return nil, true, err
	}
	go permit.watch(link)
	return permit, true, nil
}

func (client *Client) open(ctx context.Context, host bvplatform.Host, request *bvpeer.PermitAsk) (remoteLink, error) {
	peer, err := client.peers.Peer(host.PeerAddress)
	if err != nil {
		return remoteLink{}, err
	}
	streamContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stream, err := peer.Permit(streamContext)
	if err != nil {
		cancel()
		return remoteLink{}, err
	}
	if err := stream.Send(&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Ask{Ask: request}}); err != nil {
		cancel()
		return remoteLink{}, err
	}
	return remoteLink{host: host, stream: stream, cancel: cancel}, nil
}

// watch detects the loss of the deciding host while the call runs, and reports the call
// to the host that decides next. Otherwise that host would count the call's slot as
// free and send the endpoint more calls than it can batch.
func (permit *Permit) watch(link remoteLink) {
	for {
		_, _ = link.stream.Recv()
		link.cancel()
		next, watched := permit.replace(link)
		if !watched {
			return
		}
		link = next
	}
}

// replace finds a new deciding host. If watched is true, the new link must be watched
// too.
func (permit *Permit) replace(lost remoteLink) (next remoteLink, watched bool) {
	permit.mutex.Lock()
	defer permit.mutex.Unlock()
	if permit.finished {
		return remoteLink{}, false
	}
	client := permit.client
	client.markUnreachable(lost.host.Name)
	permit.link = client.adopt(context.Background(), permit.request, permit.endpoint)
	next, watched = permit.link.(remoteLink)
	return next, watched
}

// adopt reports a call that already runs on an endpoint to the deciding host.
func (client *Client) adopt(ctx context.Context, request *bvpeer.PermitAsk, endpoint string) link {
	running, ok := proto.Clone(request).(*bvpeer.PermitAsk)
	if !ok {
		return noLink{}
	}
	running.RunningOn = endpoint
	for _, host := range client.view.Candidates(client.clock.Now(), "pool/"+request.GetPool()) {
		if host.Name == client.view.Self().Name {
			return localLink{client.local.Submit(running)}
		}
		link, err := client.open(ctx, host, running)
		if err == nil {
			return link
		}
		client.markUnreachable(host.Name)
	}
	return noLink{}
}
