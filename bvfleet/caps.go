package bvfleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvquota"
)

//go:generate stringer -type=CapWay -linecomment -output=capway_string.go

// CapWay is a strategy for enforcing workspaces' usage caps across all hosts.
type CapWay int

// The strategies.
const (
	// SplitCaps gives each host an equal share of each cap.
	SplitCaps CapWay = iota // split
	// ReportedCaps goes by the usage that hosts report to each other.
	ReportedCaps // told
	// AllocatedCaps does so while usage is far from the cap, and queries the
	// workspace's allocator when it is near.
	AllocatedCaps // allocator
	// CentralCaps queries the allocator for each request.
	CentralCaps // central
)

// CapWays returns all strategies.
func CapWays() []CapWay { return []CapWay{SplitCaps, ReportedCaps, AllocatedCaps, CentralCaps} }

// CapLoad is a load of workspaces with usage caps.
type CapLoad struct {
	Seed        uint64
	Hosts       int
	Workspaces  int
	RatePerHost float64 // requests a second
	Headroom    float64 // ratio of a cap to its workspace's mean request rate
	Duration    bvclock.Duration
	SurgeFactor float64          // multiplies the request rate in the middle third
	HostsFail   bool             // all hosts restart without state at two thirds
	ReportLag   bvclock.Duration // time until hosts have each other's usage reports
	// UnansweredShare is the fraction of requests that the first allocator does not
	// answer, so that the host queries the standby.
	UnansweredShare float64
}

// CapResult holds the outcomes of the requests.
type CapResult struct {
	Requests int
	Granted  int
	// RefusedBelow counts requests that were refused although a single bucket for all
	// hosts would have granted them; GrantedAbove counts the reverse. A request that
	// only one of the two grants uses up tokens of that one and changes its later
	// decisions, so compare the difference of the two counts.
	RefusedBelow      int
	GrantedAbove      int
	WorstWindow       float64 // most requests in a window, relative to the bounds
	AllocatorRequests int     // queries to allocators
}

// String formats the figures as one line.
func (result CapResult) String() string {
	share := func(count int) float64 { return float64(count) / float64(max(result.Requests, 1)) }
	return fmt.Sprintf("requests %d, run %.3f, refused below the cap %.4f, run above %.4f, worst window %.2f of the bound, asks a request %.3f",
		result.Requests, share(result.Granted), share(result.RefusedBelow), share(result.GrantedAbove), result.WorstWindow, share(result.AllocatorRequests))
}

const (
	// capRequests is the number of requests of a program, with capPause between two.
	capRequests = 18
	capPause    = 120 * bvclock.Millisecond
	// capSkew is the Zipf exponent of the workspaces' sizes.
	capSkew = 0.8
	capStep = 10 * bvclock.Millisecond
)

// capBounds are the tolerances with which caps must be enforced.
var capBounds = bvquota.Bounds{Window: 5 * bvclock.Second, OverRatio: 0.1, Slack: 20}

// capSimulation is a running simulation of a CapLoad.
type capSimulation struct {
	load          CapLoad
	strategy      CapWay
	random        *rand.Rand
	clock         *bvclock.Manual
	hosts         []*capHost
	caps          []bvquota.Cap
	weights       []float64
	singleLimiter *bvquota.Limiter // the reference: one limiter for all hosts
	due           map[bvclock.Time][]int
	messages      map[bvclock.Time][]usageMessage
	grantedAt     [][]bvclock.Time // by workspace
	result        CapResult
	hostsStarted  uint64
}

type capHost struct {
	id      uint64
	limiter *bvquota.Limiter
}

type usageMessage struct {
	from  uint64
	usage []bvquota.Usage
}

// SimulateCaps simulates a load to its end with one strategy.
func SimulateCaps(load CapLoad, strategy CapWay) CapResult {
	simulation := &capSimulation{
		load: load, strategy: strategy, random: rand.New(rand.NewPCG(load.Seed, load.Seed)), clock: &bvclock.Manual{},
		due: make(map[bvclock.Time][]int), messages: make(map[bvclock.Time][]usageMessage), grantedAt: make([][]bvclock.Time, load.Workspaces),
	}
	simulation.build()
	lostAt := bvclock.Time(load.Duration * 2 / 3)
	for now := simulation.clock.Advance(capStep); now < bvclock.Time(load.Duration); now = simulation.clock.Advance(capStep) {
		if load.HostsFail && now >= lostAt && now < lostAt.Add(capStep) {
			simulation.startHosts()
		}
		simulation.deliverUsage(now)
		simulation.startPrograms(now)
		for _, workspace := range simulation.due[now] {
			simulation.sendRequest(now, workspace)
		}
		delete(simulation.due, now)
		simulation.sendUsage(now)
	}
	simulation.result.WorstWindow = simulation.worstWindow()
	return simulation.result
}

func (simulation *capSimulation) build() {
	sum := 0.0
	for rank := range simulation.load.Workspaces {
		weight := math.Pow(float64(rank+1), -capSkew)
		simulation.weights = append(simulation.weights, weight)
		sum += weight
	}
	total := simulation.load.RatePerHost * float64(simulation.load.Hosts)
	for rank := range simulation.weights {
		simulation.weights[rank] /= sum
		rate := math.Ceil(simulation.load.Headroom * total * simulation.weights[rank])
		simulation.caps = append(simulation.caps, bvquota.Cap{Workspace: fmt.Sprintf("workspace-%d", rank), Rate: rate, Burst: rate})
	}
	bounds := capBounds
	bounds.StartFull = true
	simulation.singleLimiter = simulation.newLimiter(1, bounds, simulation.caps)
	simulation.hosts = make([]*capHost, simulation.load.Hosts)
	simulation.startHosts()
}

func (simulation *capSimulation) newLimiter(hosts int, bounds bvquota.Bounds, caps []bvquota.Cap) *bvquota.Limiter {
	limiter := bvquota.New(simulation.clock, bounds)
	limiter.SetHosts(hosts, hosts, simulation.load.ReportLag)
	limiter.SetCaps(caps)
	return limiter
}

// startHosts replaces all hosts by new ones without state.
func (simulation *capSimulation) startHosts() {
	caps, knownHosts, bounds := simulation.caps, simulation.load.Hosts, capBounds
	bounds.StartFull = simulation.hostsStarted == 0
	if simulation.strategy == SplitCaps {
		caps, knownHosts = make([]bvquota.Cap, len(simulation.caps)), 1
		bounds.OverRatio, bounds.Slack = 0, 0 // they apply to all hosts together
		for i, limit := range simulation.caps {
			share := 1 / float64(simulation.load.Hosts)
			caps[i] = bvquota.Cap{Workspace: limit.Workspace, Rate: limit.Rate * share, Burst: max(limit.Burst*share, 1)}
		}
	}
	for i := range simulation.hosts {
		simulation.hostsStarted++
		simulation.hosts[i] = &capHost{id: simulation.hostsStarted, limiter: simulation.newLimiter(knownHosts, bounds, caps)}
	}
}

// startPrograms draws the programs that start in this step.
func (simulation *capSimulation) startPrograms(now bvclock.Time) {
	rate := simulation.load.RatePerHost * float64(simulation.load.Hosts) / capRequests
	if third := bvclock.Time(simulation.load.Duration / 3); now >= third && now < 2*third {
		rate *= simulation.load.SurgeFactor
	}
	for expected := rate * float64(capStep) / float64(bvclock.Second); expected > 0; expected-- {
		if simulation.random.Float64() >= expected {
			continue
		}
		workspace := simulation.drawWorkspace()
		for number := range capRequests {
			at := now.Add(bvclock.Duration(number) * capPause)
			simulation.due[at] = append(simulation.due[at], workspace)
		}
	}
}

func (simulation *capSimulation) drawWorkspace() int {
	draw := simulation.random.Float64()
	for rank, weight := range simulation.weights {
		if draw -= weight; draw < 0 {
			return rank
		}
	}
	return len(simulation.weights) - 1
}

// sendRequest sends one request through a random host.
func (simulation *capSimulation) sendRequest(now bvclock.Time, workspace int) {
	host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
	request := bvquota.Request{Workspace: simulation.caps[workspace].Workspace}
	grantable := simulation.singleLimiter.TakeAsAllocator(request).Outcome == bvquota.Granted
	decision := simulation.decide(host, request)
	simulation.result.Requests++
	switch {
	case decision.Outcome == bvquota.Granted:
		simulation.result.Granted++
		simulation.grantedAt[workspace] = append(simulation.grantedAt[workspace], now.Add(decision.Wait))
		if !grantable {
			simulation.result.GrantedAbove++
		}
	case grantable:
		simulation.result.RefusedBelow++
	}
}

func (simulation *capSimulation) decide(host *capHost, request bvquota.Request) bvquota.Decision {
	decision := bvquota.Decision{Outcome: bvquota.Ask}
	if simulation.strategy != CentralCaps {
		decision = host.limiter.Take(request)
	}
	if decision.Outcome != bvquota.Ask {
		return decision
	}
	first := int(bvquota.HashWorkspace(request.Workspace)) % len(simulation.hosts)
	allocator, standby := simulation.hosts[first], simulation.random.Float64() < simulation.load.UnansweredShare
	if standby {
		allocator = simulation.hosts[(first+1)%len(simulation.hosts)]
	}
	request.FromStandby = standby
	if simulation.strategy == SplitCaps || simulation.strategy == ReportedCaps || allocator == host {
		return host.limiter.TakeAsAllocator(request)
	}
	simulation.result.AllocatorRequests++
	decision = allocator.limiter.DecideClaim(host.id, host.limiter.OwnUsage(request.Workspace), request)
	if decision.Outcome == bvquota.Granted {
		host.limiter.RecordGrant(request.Workspace)
	}
	return decision
}

// sendUsage sends each host's usage to all others. The hosts send at staggered times.
func (simulation *capSimulation) sendUsage(now bvclock.Time) {
	if simulation.strategy == SplitCaps {
		return
	}
	stepsPerReport := int64(max(simulation.load.ReportLag/capStep, 1))
	for i, host := range simulation.hosts {
		if (int64(now)/int64(capStep)+int64(i))%stepsPerReport == 0 {
			at := now.Add(capStep)
			simulation.messages[at] = append(simulation.messages[at], usageMessage{host.id, host.limiter.RecentUsage()})
		}
	}
}

func (simulation *capSimulation) deliverUsage(now bvclock.Time) {
	for _, message := range simulation.messages[now] {
		for _, host := range simulation.hosts {
			if host.id != message.from {
				host.limiter.RecordUsage(message.from, message.usage)
			}
		}
	}
	delete(simulation.messages, now)
}

// worstWindow returns the most requests in a window, relative to the number that the
// bounds allow.
func (simulation *capSimulation) worstWindow() float64 {
	worst := 0.0
	for workspace, times := range simulation.grantedAt {
		slices.Sort(times)
		limit := simulation.caps[workspace]
		nominal := limit.Rate*float64(capBounds.Window)/float64(bvclock.Second) + limit.Burst
		allowed := nominal*(1+capBounds.OverRatio) + capBounds.Slack
		first := 0
		for last, at := range times {
			for times[first].Before(at.Add(-capBounds.Window)) {
				first++
			}
			worst = max(worst, float64(last-first+1)/allowed)
		}
	}
	return worst
}
