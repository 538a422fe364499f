package bvdaemon

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvplatform"
)

// listTimeout bounds one request for a list of the platform.
const listTimeout = 2 * bvclock.Second

// followHosts keeps this host's entry and the list of hosts up to date. While the
// platform is unavailable the last list stays in use, corrected by this host's own
// observations.
func (daemon *Daemon) followHosts(ctx context.Context) {
	hosts := bvlog.Outage{Dependency: "platform's list of hosts", Log: daemon.log}
	ownEntry := bvlog.Outage{Dependency: "platform's list of hosts, for this host's entry,", Log: daemon.log}
	for ctx.Err() == nil {
		ownEntry.Record(daemon.announce(ctx))
		hosts.Record(daemon.pollHosts(ctx))
		daemon.shareSuspects(ctx)
		sleep(ctx, daemon.settings.PollInterval())
	}
}

// followEndpoints keeps the list of endpoints up to date. It has its own loop: a
// leaving endpoint must not get calls while other requests get no answer.
func (daemon *Daemon) followEndpoints(ctx context.Context) {
	endpoints := bvlog.Outage{Dependency: "platform's list of endpoints", Log: daemon.log}
	for ctx.Err() == nil {
		endpoints.Record(daemon.pollEndpoints(ctx))
		sleep(ctx, daemon.settings.PollInterval())
	}
}

func (daemon *Daemon) pollHosts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Std())
	defer cancel()
	hosts, err := daemon.platform.Hosts(ctx)
	if err != nil {
		return err
	}
	daemon.view.Update(daemon.clock.Now(), hosts)
	daemon.measures.Set("hosts", int64(len(daemon.view.Hosts())))
	daemon.measures.Set("table_version", daemon.table.version())
	addresses := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		addresses[host.PeerAddress] = true
	}
	daemon.peers.Retain(addresses)
	return nil
}

func (daemon *Daemon) pollEndpoints(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Std())
	defer cancel()
	endpoints, err := daemon.platform.Endpoints(ctx)
	if err != nil {
		return err
	}
	daemon.endpoints.update(daemon.clock.Now(), endpoints)
	daemon.updatePermits()
	daemon.ready.Store(daemon.view.Self().State == bvplatform.HostLive)
	return nil
}

// shareSuspects sends the suspect requests that this host knows of to other hosts.
func (daemon *Daemon) shareSuspects(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Std())
	defer cancel()
	daemon.permitClient.ShareSuspects(ctx)
	daemon.measures.Set("suspects_told", daemon.permitClient.SuspectsSent())
}

// updatePermits passes the current endpoints and the shares in force to the permit server.
func (daemon *Daemon) updatePermits() {
	daemon.permits.Update(daemon.endpoints.list(), daemon.table.shares())
}
