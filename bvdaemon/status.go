package bvdaemon

import (
	"context"
	"encoding/json"
	"fmt"

	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvstatus"
)

// status queries all hosts and returns the status that operators of a member may see.
func (daemon *Daemon) status(ctx context.Context, member string) bvstatus.Status {
	var listed []bvstatus.Report
	for _, host := range daemon.view.Hosts() {
		listed = append(listed, bvstatus.NewSilentReport(host.Name, host.Zone, host.State.String()))
	}
	reports := bvstatus.Gather(ctx, listed, func(ctx context.Context, host string) (bvstatus.Report, error) {
		return daemon.queryStatus(ctx, host, member)
	})
	status := bvstatus.Merge(member, daemon.statusEndpoints(), daemon.statusMembers(), reports)
	status.Host = daemon.Name()
	status.Counters = daemon.measures.Numbers()
	return status
}

func (daemon *Daemon) statusEndpoints() []bvstatus.Endpoint {
	var endpoints []bvstatus.Endpoint
	for _, endpoint := range daemon.endpoints.list() {
		endpoints = append(endpoints, bvstatus.Endpoint{
			Name:   endpoint.Name,
			Kind:   endpoint.Kind.String(),
			Serves: endpoint.Serves,
			Zone:   endpoint.Zone,
			State:  endpoint.State.String(),
			Slots:  endpoint.Slots,
		})
	}
	return endpoints
}

func (daemon *Daemon) statusMembers() []bvstatus.Member {
	var members []bvstatus.Member
	for _, share := range daemon.table.shares() {
		members = append(members, bvstatus.Member{Name: share.Member, Share: share.Weight})
	}
	return members
}

func (daemon *Daemon) queryStatus(ctx context.Context, name, member string) (bvstatus.Report, error) {
	if name == daemon.Name() {
		return daemon.report(member), nil
	}
	var report bvstatus.Report
	client, err := tablePeers{daemon: daemon}.client(name)
	if err != nil {
		return report, err
	}
	reply, err := client.Status(ctx, &bvpeer.StatusRequest{Member: member})
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(reply.GetStatus(), &report); err != nil {
		return report, fmt.Errorf("daemon: decode status: %w", err)
	}
	return report, nil
}

// Status implements bvpeer.PeerServer.
func (service *peerService) Status(_ context.Context, request *bvpeer.StatusRequest) (*bvpeer.StatusReply, error) {
	encoded, err := json.Marshal(service.daemon.report(request.GetMember()))
	if err != nil {
		return nil, fmt.Errorf("daemon: encode status: %w", err)
	}
	return &bvpeer.StatusReply{Status: encoded}, nil
}

// report returns this host's report on itself and on a member.
func (daemon *Daemon) report(member string) bvstatus.Report {
	self := daemon.view.Self()
	version, confirmed := daemon.table.follower.VersionInForce()
	_, refusing := daemon.table.follower.Current()
	report := bvstatus.Report{
		Host:      self.Name,
		Zone:      self.Zone,
		State:     self.State.String(),
		Version:   version,
		Confirmed: daemon.clock.Now().Sub(confirmed),
		Refusing:  refusing != nil,
	}
	daemon.addPools(&report, member)
	daemon.addMember(&report, member)
	return report
}

func (daemon *Daemon) addPools(report *bvstatus.Report, member string) {
	for _, pool := range daemon.permits.Status() {
		isGrantor := daemon.view.Candidates(daemon.clock.Now(), "pool/"+pool.Pool)[0].Name == report.Host
		for _, endpoint := range pool.Endpoints {
			if endpoint.Running == 0 && !endpoint.Ejected {
				continue // the list of endpoints already has all of it
			}
			report.Endpoints = append(report.Endpoints, bvstatus.EndpointReport{
				Endpoint: endpoint.Name,
				Running:  endpoint.Running,
				// A host that is no longer the pool's grantor does not probe, and
				// would show an endpoint as ejected indefinitely.
				Ejected: endpoint.Ejected && isGrantor,
			})
		}
		for _, memberStatus := range pool.Members {
			if memberStatus.Member != member {
				continue
			}
			report.Member.Queued += memberStatus.Queued
			report.Member.Running += memberStatus.Running
			report.Member.Work += float64(memberStatus.RecentWork)
		}
	}
}

func (daemon *Daemon) addMember(report *bvstatus.Report, member string) {
	report.Member.Programs = daemon.owner.ProgramCount(member)
	report.Member.Refusals = daemon.measures.Refusals(member)
	report.Member.Known = report.Member.Programs > 0 || len(report.Member.Refusals) > 0
}
