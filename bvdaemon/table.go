package bvdaemon

import (
	"context"
	"encoding/json"
	"fmt"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvtable"
	"balsamvalve.example/bvverdict"
)

// table is this host's replica of the operators' table.
type table struct {
	daemon   *Daemon
	follower *bvtable.Follower
}

func newTable(daemon *Daemon) *table {
	table := &table{daemon: daemon}
	table.follower = &bvtable.Follower{
		Store: daemon.platform,
		Peers: tablePeers{daemon: daemon},
		Clock: daemon.clock,
	}
	return table
}

func (table *table) run(ctx context.Context) {
	table.follower.Run(ctx, table.daemon.settings.PollInterval())
}

// version returns the version in force.
func (table *table) version() int64 {
	version, _ := table.follower.VersionInForce()
	return version
}

// Row implements bvowner.Table. A host that has just started and has no table yet refuses
// with NotOwner, so that another host runs the call.
func (table *table) Row(member, class string) (bvtable.Row, error) {
	snapshot := table.follower.Snapshot()
	if snapshot == nil {
		return bvtable.Row{}, bvverdict.Refuse(bvverdict.NotOwner, "this host has not loaded the operators' table yet")
	}
	if snapshot.Len() == 0 {
		// Nothing was ever configured: every member with a key has an equal
		// share and no limits, so that a first installation can be tried.
		return bvtable.Row{Member: member, Share: 1}, nil
	}
	row, found := snapshot.Row(member, class)
	if !found {
		return bvtable.Row{}, bvverdict.Refuse(bvverdict.Forbidden, "the operators' table has no row for this call")
	}
	return row, nil
}

// Admit implements bvcaller.Policy.
func (table *table) Admit(member, class string, call *bvpeer.Call) error {
	if _, err := table.follower.Current(); err != nil {
		return err
	}
	row, err := table.Row(member, class)
	if err != nil {
		return err
	}
	if model := call.GetModel(); model != nil {
		return table.admitTarget(bvplatform.Engine, model.GetModel(), row.Models, bvverdict.UnknownModel)
	}
	return table.admitTarget(bvplatform.Service, call.GetService().GetService(), row.Services, bvverdict.UnknownService)
}

func (table *table) admitTarget(kind bvplatform.EndpointKind, name string, allowed []string, unknown bvverdict.Code) error {
	if len(allowed) > 0 && !contains(allowed, name) {
		return bvverdict.Refuse(bvverdict.Forbidden, "the operators' table does not allow %s %s", kindName(kind), name)
	}
	if table.daemon.endpoints.serves(kind, name) {
		return nil
	}
	if table.daemon.endpoints.hasServed(kind, name) {
		return bvverdict.Refuse(bvverdict.Overloaded, "no endpoint serves %s %s now", kindName(kind), name).
			WithRetryAfter(retryAfterNoEndpoint)
	}
	return bvverdict.Refuse(unknown, "no endpoint serves %s %s", kindName(kind), name)
}

// kindName returns the word in error messages for what endpoints of the kind serve.
func kindName(kind bvplatform.EndpointKind) string {
	if kind == bvplatform.Engine {
		return "model"
	}
	return kind.String()
}

// retryAfterNoEndpoint is the Retry-After when all endpoints of a model or service
// have failed; an endpoint that restarts is listed within this time.
const retryAfterNoEndpoint = 5 * bvclock.Second

func contains(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}

// shares returns the members' weights and limits for the permit server.
func (table *table) shares() []bvgate.MemberShare {
	snapshot := table.follower.Snapshot()
	if snapshot == nil {
		return nil
	}
	var shares []bvgate.MemberShare
	for _, row := range snapshot.Rows() {
		if row.Class == "" {
			shares = append(shares, bvgate.MemberShare{
				Member:      row.Member,
				Weight:      row.Share,
				Rate:        row.Rate,
				Concurrency: row.Concurrency,
			})
		}
	}
	return shares
}

// tablePeers requests snapshots of the table from other hosts and confirms versions
// there.
type tablePeers struct {
	daemon *Daemon
}

// Names implements bvtable.Peers.
func (peers tablePeers) Names() []string {
	var names []string
	for _, host := range peers.daemon.view.Hosts() {
		if host.Name != peers.daemon.Name() {
			names = append(names, host.Name)
		}
	}
	return names
}

func (peers tablePeers) client(name string) (bvpeer.PeerClient, error) {
	host, found := peers.daemon.view.ByName(name)
	if !found {
		return nil, fmt.Errorf("daemon: host %s is not listed", name)
	}
	return peers.daemon.peers.Peer(host.PeerAddress)
}

// Show implements bvtable.Peers.
func (peers tablePeers) FetchSnapshot(ctx context.Context, name string, known int64) (int64, []byte, error) {
	client, err := peers.client(name)
	if err != nil {
		return 0, nil, err
	}
	reply, err := client.TableSnapshot(ctx, &bvpeer.TableSnapshotRequest{Known: known})
	if err != nil {
		return 0, nil, err
	}
	return reply.GetVersion(), reply.GetSnapshot(), nil
}

// Confirm implements bvtable.Confirmer.
func (peers tablePeers) Confirm(ctx context.Context, name string, version int64, changes []bvtable.Change) (int64, error) {
	client, err := peers.client(name)
	if err != nil {
		return 0, err
	}
	encoded, err := json.Marshal(changes)
	if err != nil {
		return 0, fmt.Errorf("daemon: encode changes: %w", err)
	}
	reply, err := client.ConfirmTable(ctx, &bvpeer.TableChanges{Version: version, Changes: encoded})
	if err != nil {
		return 0, err
	}
	return reply.GetVersion(), nil
}

// ConfirmTable implements bvpeer.PeerServer.
func (service *peerService) ConfirmTable(ctx context.Context, pushed *bvpeer.TableChanges) (*bvpeer.TableConfirmation, error) {
	var changes []bvtable.Change
	if err := json.Unmarshal(pushed.GetChanges(), &changes); err != nil {
		return nil, fmt.Errorf("daemon: decode changes: %w", err)
	}
	version, err := service.daemon.table.follower.ApplyCommitted(ctx, pushed.GetVersion(), changes)
	if err != nil {
		return nil, err
	}
	service.daemon.updatePermits()
	return &bvpeer.TableConfirmation{Version: version}, nil
}

// TableSnapshot implements bvpeer.PeerServer.
func (service *peerService) TableSnapshot(_ context.Context, request *bvpeer.TableSnapshotRequest) (*bvpeer.TableSnapshotReply, error) {
	version, snapshot, err := service.daemon.table.follower.SnapshotNewerThan(request.GetKnown())
	if err != nil {
		return nil, err
	}
	return &bvpeer.TableSnapshotReply{Version: version, Snapshot: snapshot}, nil
}
