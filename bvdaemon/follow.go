package bvdaemon

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// listTimeout bounds one look at the platform's lists.
const listTimeout = 2 * bvclock.Second

// follow keeps the lists of hosts and endpoints up to date. When the platform
// is out, the last lists stay: what this host sees itself corrects them.
func (daemon *Daemon) follow(ctx context.Context) {
	for ctx.Err() == nil {
		daemon.announce(ctx)
		daemon.followHosts(ctx)
		daemon.followEndpoints(ctx)
		sleep(ctx, daemon.settings.PollInterval())
	}
}

func (daemon *Daemon) followHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Std())
	defer cancel()
	hosts, err := daemon.platform.Hosts(ctx)
	if err != nil {
		daemon.log.WithError(err).Warn("list of hosts could not be read")
		return
	}
	daemon.view.Update(daemon.clock.Now(), hosts)
	daemon.measures.Set("hosts", int64(len(daemon.view.Hosts())))
	daemon.measures.Set("table_version", daemon.table.version())
	addresses := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		addresses[host.PeerAddress] = true
	}
	daemon.peers.Retain(addresses)
}

func (daemon *Daemon) followEndpoints(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Std())
	defer cancel()
	endpoints, err := daemon.platform.Endpoints(ctx)
	if err != nil {
		daemon.log.WithError(err).Warn("list of endpoints could not be read")
		return
	}
	daemon.endpoints.update(endpoints)
	daemon.shareTable()
	daemon.ready.Store(daemon.view.Self().State == bvplatform.HostLive)
}

// shareTable gives the decisions the endpoints and the shares in force.
func (daemon *Daemon) shareTable() {
	daemon.permits.Update(daemon.endpoints.list(), daemon.table.shares())
}
