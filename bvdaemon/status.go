package bvdaemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvstatus"
)

// status asks all hosts and returns what operators of a member may see.
func (daemon *Daemon) status(ctx context.Context, member string) bvstatus.Status {
	var listed []bvstatus.Report
	for _, host := range daemon.view.Hosts() {
		listed = append(listed, bvstatus.Silent(host.Name, host.Zone, host.State.String()))
	}
	reports := bvstatus.Gather(ctx, listed, daemon.askStatus)
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

func (daemon *Daemon) askStatus(ctx context.Context, name string) (bvstatus.Report, error) {
	if name == daemon.Name() {
		return daemon.report(), nil
	}
	var report bvstatus.Report
	client, err := tablePeers{daemon: daemon}.client(name)
	if err != nil {
		return report, err
	}
	reply, err := client.Status(ctx, &bvpeer.StatusRequest{})
	if err != nil {
		return report, err
	}
	if err := json.Unmarshal(reply.GetStatus(), &report); err != nil {
		return report, fmt.Errorf("daemon: decode status: %w", err)
	}
	return report, nil
}

// Status implements bvpeer.PeerServer.
func (service *peerService) Status(context.Context, *bvpeer.StatusRequest) (*bvpeer.StatusReply, error) {
	encoded, err := json.Marshal(service.daemon.report())
	if err != nil {
		return nil, fmt.Errorf("daemon: encode status: %w", err)
	}
	return &bvpeer.StatusReply{Status: encoded}, nil
}

// report is what this host says of itself.
func (daemon *Daemon) report() bvstatus.Report {
	self := daemon.view.Self()
	version, confirmed := daemon.table.follower.InForce()
	_, refusing := daemon.table.follower.Current()
	report := bvstatus.Report{
		Host:      self.Name,
		Zone:      self.Zone,
		State:     self.State.String(),
		Version:   version,
		Confirmed: daemon.clock.Now().Sub(confirmed),
		Refusing:  refusing != nil,
	}
	daemon.reportPools(&report)
	daemon.reportMembers(&report)
	return report
}

func (daemon *Daemon) reportPools(report *bvstatus.Report) {
	members := memberReports{report: report}
	for _, pool := range daemon.permits.Status() {
		decides := daemon.view.Candidates(daemon.clock.Now(), "pool/"+pool.Pool)[0].Name == report.Host
		for _, endpoint := range pool.Endpoints {
			report.Endpoints = append(report.Endpoints, bvstatus.EndpointReport{
				Endpoint: endpoint.Name,
				Running:  endpoint.Running,
				// A host that no longer decides probes no more, and would
				// show an endpoint as ejected for ever.
				Ejected: endpoint.Ejected && decides,
			})
		}
		for _, member := range pool.Members {
			entry := members.of(member.Member)
			entry.Queued += member.Queued
			entry.Running += member.Running
			entry.Work += float64(member.Work)
		}
	}
}

func (daemon *Daemon) reportMembers(report *bvstatus.Report) {
	members := memberReports{report: report}
	for _, count := range daemon.owner.Members() {
		members.of(count.Member).Programs = count.Programs
	}
	for _, member := range daemon.measures.RefusedMembers() {
		members.of(member).Refusals = daemon.measures.Refusals(member)
	}
}

// memberReports finds the entries of members in a report, or adds them.
type memberReports struct {
	report *bvstatus.Report
}

func (members memberReports) of(name string) *bvstatus.MemberReport {
	at, found := slices.BinarySearchFunc(members.report.Members, name, compareMember)
	if !found {
		members.report.Members = slices.Insert(members.report.Members, at, bvstatus.MemberReport{Member: name})
	}
	return &members.report.Members[at]
}

func compareMember(member bvstatus.MemberReport, name string) int {
	return strings.Compare(member.Member, name)
}
