package bvpermit

import (
	"context"

	"google.golang.org/protobuf/proto"

	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
)

// localLine reports to this host's own server.
type localLine struct {
	ticket *Ticket
}

func (line localLine) use() { line.ticket.MarkUsed() }

func (line localLine) finish(finish *bvpeer.PermitFinish) { line.ticket.Finish(finish) }

// remoteLine reports over a permit stream.
type remoteLine struct {
	host   bvplatform.Host
	stream bvpeer.Peer_PermitClient
	cancel context.CancelFunc
}

func (line remoteLine) use() {
	_ = line.stream.Send(&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Used{Used: &bvpeer.PermitUsed{}}})
}

// finish leaves the stream open until the server has read the report: canceling
// it could overtake the report, and look as if this host had died.
func (line remoteLine) finish(finish *bvpeer.PermitFinish) {
	_ = line.stream.Send(&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Finish{Finish: finish}})
	_ = line.stream.CloseSend()
}

// noLine reports to nobody: no deciding host was reachable.
type noLine struct{}

func (noLine) use() {}

func (noLine) finish(*bvpeer.PermitFinish) {}

// askRemote asks another host. The stream outlives ctx: it carries the reports
// while the call runs.
func (client *Client) askRemote(ctx context.Context, host bvplatform.Host, ask *bvpeer.PermitAsk) (permit *Permit, reached bool, err error) {
	line, err := client.open(ctx, host, ask)
	if err != nil {
		return nil, false, nil
	}
	stop := context.AfterFunc(ctx, line.cancel)
	decision, err := line.stream.Recv()
	inTime := stop()
	if err != nil || !inTime {
		line.cancel()
		return nil, false, nil
	}
	client.view.MarkReachable(host.Name)
	permit, err = client.permitOf(ask, decision, line)
	if err != nil {
		line.cancel()
		return nil, true, err
	}
	go permit.watch(line)
	return permit, true, nil
}

func (client *Client) open(ctx context.Context, host bvplatform.Host, ask *bvpeer.PermitAsk) (remoteLine, error) {
	peer, err := client.peers.Peer(host.PeerAddress)
	if err != nil {
		return remoteLine{}, err
	}
	streamContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stream, err := peer.Permit(streamContext)
	if err != nil {
		cancel()
		return remoteLine{}, err
	}
	if err := stream.Send(&bvpeer.PermitEvent{Event: &bvpeer.PermitEvent_Ask{Ask: ask}}); err != nil {
		cancel()
		return remoteLine{}, err
	}
	return remoteLine{host: host, stream: stream, cancel: cancel}, nil
}

// watch notices that the deciding host was lost while the call runs, and tells
// the host that decides now. Otherwise that host would think the call's slot
// free and send the endpoint more than it can batch.
func (permit *Permit) watch(line remoteLine) {
	for {
		_, _ = line.stream.Recv()
		line.cancel()
		next, watched := permit.replace(line)
		if !watched {
			return
		}
		line = next
	}
}

// replace finds a new deciding host; watched is true when it is to be watched
// in turn.
func (permit *Permit) replace(lost remoteLine) (next remoteLine, watched bool) {
	permit.mutex.Lock()
	defer permit.mutex.Unlock()
	if permit.finished {
		return remoteLine{}, false
	}
	client := permit.client
	client.distrust(lost.host.Name)
	permit.line = client.adopt(context.Background(), permit.ask, permit.endpoint)
	next, watched = permit.line.(remoteLine)
	return next, watched
}

// adopt tells the deciding host of a call that already runs on an endpoint.
func (client *Client) adopt(ctx context.Context, ask *bvpeer.PermitAsk, endpoint string) line {
	running, ok := proto.Clone(ask).(*bvpeer.PermitAsk)
	if !ok {
		return noLine{}
	}
	running.RunningOn = endpoint
	for _, host := range client.view.Candidates(client.clock.Now(), "pool/"+ask.GetPool()) {
		if host.Name == client.view.Self().Name {
			return localLine{client.local.Submit(running)}
		}
		line, err := client.open(ctx, host, running)
		if err == nil {
			return line
		}
		client.distrust(host.Name)
	}
	return noLine{}
}
