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

// CapWay is a way to hold workspaces to their usage caps over all hosts.
type CapWay int

// The ways.
const (
	// SplitCaps gives each host the same part of each cap.
	SplitCaps CapWay = iota // split
	// ReportedCaps goes by the usage that hosts report to each other.
	ReportedCaps // told
	// AllocatedCaps does so far from the cap, and asks the workspace's allocator near it.
	AllocatedCaps // allocator
	// CentralCaps asks the allocator for each request.
	CentralCaps // central
)

// CapWays returns all ways.
func CapWays() []CapWay { return []CapWay{SplitCaps, ReportedCaps, AllocatedCaps, CentralCaps} }

// CapLoad is a load of workspaces with usage caps.
type CapLoad struct {
	Seed        uint64
	Hosts       int
	Workspaces  int
	RatePerHost float64 // requests a second
	Headroom    float64 // of a cap, over the mean of its workspace's requests
	Duration    bvclock.Duration
	SurgeFactor float64          // factor of all requests in the middle third
	HostsFail   bool             // all hosts are lost at two thirds
	ReportLag   bvclock.Duration // within which hosts hear of each other's requests
	// Unanswered is the share of the questions that the first allocator does not answer,
	// so that the second one is asked.
	UnansweredShare float64
}

// CapResult is what callers got.
type CapResult struct {
	Requests int
	Granted  int
	// RefusedBelow are requests that were refused and that a single bucket for all hosts
	// would have granted; RunAbove, those that ran and that it would have refused. What
	// one has granted is missing for the next, so that their difference tells more.
	RefusedBelow      int
	GrantedAbove      int
	WorstWindow       float64 // requests in a window, as a share of what the bounds allow
	AllocatorRequests int     // questions to allocators
}

// String shows the figures in one line.
func (result CapResult) String() string {
	share := func(count int) float64 { return float64(count) / float64(max(result.Requests, 1)) }
	return fmt.Sprintf("requests %d, run %.3f, refused below the cap %.4f, run above %.4f, worst window %.2f of the bound, asks a request %.3f",
		result.Requests, share(result.Granted), share(result.RefusedBelow), share(result.GrantedAbove), result.WorstWindow, share(result.AllocatorRequests))
}

const (
	// A program sends this many requests, with a pause between two.
	capRequests = 18
	capPause    = 120 * bvclock.Millisecond
	// capSkew is the exponent by which workspaces differ in size.
	capSkew = 0.8
	capStep = 10 * bvclock.Millisecond
)

// capBounds say how exactly caps must be kept.
var capBounds = bvquota.Bounds{Window: 5 * bvclock.Second, OverRatio: 0.1, Slack: 20}

// capPlay is a load under way.
type capSimulation struct {
	load    CapLoad
	way     CapWay
	random  *rand.Rand
	clock   *bvclock.Manual
	hosts   []*capHost
	caps    []bvquota.Cap
	weights []float64
	single  *bvquota.Limiter // of all hosts at once
	due     map[bvclock.Time][]int
	mail    map[bvclock.Time][]capMail
	ran     [][]bvclock.Time // by workspace
	result  CapResult
	born    uint64
}

type capHost struct {
	id      uint64
	limiter *bvquota.Limiter
}

type capMail struct {
	from uint64
	uses []bvquota.Usage
}

// SimulateCaps simulates a load to its end with one strategy.
func SimulateCaps(load CapLoad, way CapWay) CapResult {
	play := &capSimulation{
		load: load, way: way, random: rand.New(rand.NewPCG(load.Seed, load.Seed)), clock: &bvclock.Manual{},
		due: make(map[bvclock.Time][]int), mail: make(map[bvclock.Time][]capMail), ran: make([][]bvclock.Time, load.Workspaces),
	}
	play.build()
	lostAt := bvclock.Time(load.Duration * 2 / 3)
	for now := play.clock.Advance(capStep); now < bvclock.Time(load.Duration); now = play.clock.Advance(capStep) {
		if load.HostsFail && now >= lostAt && now < lostAt.Add(capStep) {
			play.startHosts()
		}
		play.deliver(now)
		play.begin(now)
		for _, workspace := range play.due[now] {
			play.request(now, workspace)
		}
		delete(play.due, now)
		play.tell(now)
	}
	play.result.WorstWindow = play.worstWindow()
	return play.result
}

func (play *capSimulation) build() {
	sum := 0.0
	for rank := range play.load.Workspaces {
		weight := math.Pow(float64(rank+1), -capSkew)
		play.weights = append(play.weights, weight)
		sum += weight
	}
	total := play.load.RatePerHost * float64(play.load.Hosts)
	for rank := range play.weights {
		play.weights[rank] /= sum
		rate := math.Ceil(play.load.Headroom * total * play.weights[rank])
		play.caps = append(play.caps, bvquota.Cap{Workspace: fmt.Sprintf("workspace-%d", rank), Rate: rate, Burst: rate})
	}
	whole := capBounds
	whole.StartFull = true
	play.single = play.newLimiter(1, whole, play.caps)
	play.hosts = make([]*capHost, play.load.Hosts)
	play.startHosts()
}

func (play *capSimulation) newLimiter(hosts int, bounds bvquota.Bounds, caps []bvquota.Cap) *bvquota.Limiter {
	limiter := bvquota.New(play.clock, bounds)
	limiter.SetHosts(hosts, hosts, play.load.ReportLag)
	limiter.SetCaps(caps)
	return limiter
}

// startHosts starts all hosts anew.
func (play *capSimulation) startHosts() {
	caps, known, bounds := play.caps, play.load.Hosts, capBounds
	bounds.StartFull = play.born == 0
	if play.way == SplitCaps {
		caps, known = make([]bvquota.Cap, len(play.caps)), 1
		bounds.OverRatio, bounds.Slack = 0, 0 // it is for all hosts together
		for i, limit := range play.caps {
			part := 1 / float64(play.load.Hosts)
			caps[i] = bvquota.Cap{Workspace: limit.Workspace, Rate: limit.Rate * part, Burst: max(limit.Burst*part, 1)}
		}
	}
	for i := range play.hosts {
		play.born++
		play.hosts[i] = &capHost{id: play.born, limiter: play.newLimiter(known, bounds, caps)}
	}
}

// begin draws the programs of this step.
func (play *capSimulation) begin(now bvclock.Time) {
	rate := play.load.RatePerHost * float64(play.load.Hosts) / capRequests
	if third := bvclock.Time(play.load.Duration / 3); now >= third && now < 2*third {
		rate *= play.load.SurgeFactor
	}
	for expected := rate * float64(capStep) / float64(bvclock.Second); expected > 0; expected-- {
		if play.random.Float64() >= expected {
			continue
		}
		workspace := play.drawWorkspace()
		for number := range capRequests {
			at := now.Add(bvclock.Duration(number) * capPause)
			play.due[at] = append(play.due[at], workspace)
		}
	}
}

func (play *capSimulation) drawWorkspace() int {
	draw := play.random.Float64()
	for rank, weight := range play.weights {
		if draw -= weight; draw < 0 {
			return rank
		}
	}
	return len(play.weights) - 1
}

// request plays one request through any host.
func (play *capSimulation) request(now bvclock.Time, workspace int) {
	host := play.hosts[play.random.IntN(len(play.hosts))]
	request := bvquota.Request{Workspace: play.caps[workspace].Workspace}
	wanted := play.single.TakeAsAllocator(request).Outcome == bvquota.Granted
	decision := play.decide(host, request)
	play.result.Requests++
	switch {
	case decision.Outcome == bvquota.Granted:
		play.result.Granted++
		play.ran[workspace] = append(play.ran[workspace], now.Add(decision.Wait))
		if !wanted {
			play.result.GrantedAbove++
		}
	case wanted:
		play.result.RefusedBelow++
	}
}

func (play *capSimulation) decide(host *capHost, request bvquota.Request) bvquota.Decision {
	decision := bvquota.Decision{Outcome: bvquota.Ask}
	if play.way != CentralCaps {
		decision = host.limiter.Take(request)
	}
	if decision.Outcome != bvquota.Ask {
		return decision
	}
	first := int(bvquota.HashWorkspace(request.Workspace)) % len(play.hosts)
	allocator, standby := play.hosts[first], play.random.Float64() < play.load.UnansweredShare
	if standby {
		allocator = play.hosts[(first+1)%len(play.hosts)]
	}
	request.FromStandby = standby
	if play.way == SplitCaps || play.way == ReportedCaps || allocator == host {
		return host.limiter.TakeAsAllocator(request)
	}
	play.result.AllocatorRequests++
	decision = allocator.limiter.DecideClaim(host.id, host.limiter.OwnUsage(request.Workspace), request)
	if decision.Outcome == bvquota.Granted {
		host.limiter.RecordGrant(request.Workspace)
	}
	return decision
}

// tell sends what each host ran to all others, each host at its own moment.
func (play *capSimulation) tell(now bvclock.Time) {
	if play.way == SplitCaps {
		return
	}
	rounds := int64(max(play.load.ReportLag/capStep, 1))
	for i, host := range play.hosts {
		if (int64(now)/int64(capStep)+int64(i))%rounds == 0 {
			at := now.Add(capStep)
			play.mail[at] = append(play.mail[at], capMail{host.id, host.limiter.RecentUsage()})
		}
	}
}

func (play *capSimulation) deliver(now bvclock.Time) {
	for _, mail := range play.mail[now] {
		for _, host := range play.hosts {
			if host.id != mail.from {
				host.limiter.RecordUsage(mail.from, mail.uses)
			}
		}
	}
	delete(play.mail, now)
}

// worstWindow returns the most requests in a window, as a share of what the bounds allow.
func (play *capSimulation) worstWindow() float64 {
	worst := 0.0
	for workspace, ran := range play.ran {
		slices.Sort(ran)
		limit := play.caps[workspace]
		whole := limit.Rate*float64(capBounds.Window)/float64(bvclock.Second) + limit.Burst
		allowed := whole*(1+capBounds.OverRatio) + capBounds.Slack
		first := 0
		for last, at := range ran {
			for ran[first].Before(at.Add(-capBounds.Window)) {
				first++
			}
			worst = max(worst, float64(last-first+1)/allowed)
		}
	}
	return worst
}
