package bvdaemon

import (
	"context"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvplatform"
)

// listTimeout bounds one look at the platform's lists.
const listTimeout = 2 * bvclock.Second

// follow keeps the lists of hosts and endpoints up to date. When the platform
// is out, the last lists stay: what this host sees itself corrects them.
func (daemon *Daemon) follow(ctx context.Context) {
	hosts := bvlog.Outage{What: "platform's list of hosts", Log: daemon.log}
	endpoints := bvlog.Outage{What: "platform's list of endpoints", Log: daemon.log}
	own := bvlog.Outage{What: "platform's list of hosts, for this host's entry,", Log: daemon.log}
	for ctx.Err() == nil {
		own.Note(daemon.announce(ctx))
		hosts.Note(daemon.followHosts(ctx))
		endpoints.Note(daemon.followEndpoints(ctx))
		daemon.shareSuspects(ctx)
		sleep(ctx, daemon.settings.PollInterval())
	}
}

func (daemon *Daemon) followHosts(ctx context.Context) error {
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

func (daemon *Daemon) followEndpoints(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Std())
	defer cancel()
	endpoints, err := daemon.platform.Endpoints(ctx)
	if err != nil {
		return err
	}
	daemon.endpoints.update(daemon.clock.Now(), endpoints)
	daemon.shareTable()
	daemon.ready.Store(daemon.view.Self().State == bvplatform.HostLive)
	return nil
}

// shareSuspects tells other hosts what this one knows of poisonous requests.
func (daemon *Daemon) shareSuspects(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Std())
	defer cancel()
	daemon.asker.ShareSuspects(ctx)
	daemon.measures.Set("suspects_told", daemon.asker.SuspectsSent())
}

// shareTable gives the decisions the endpoints and the shares in force.
func (daemon *Daemon) shareTable() {
	daemon.permits.Update(daemon.endpoints.list(), daemon.table.shares())
}
