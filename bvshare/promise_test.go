package bvshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
)

// counter is what the hosts of a scenario decide with: Shares, or a broken fake.
type counter interface {
	SetHosts(others int, lag bvclock.Duration)
	SetWeights(weights map[uint32]float64)
	RecordAsk(now bvclock.Time, workspace uint32, work float64)
	RecordWork(now bvclock.Time, workspace uint32, work float64)
	Report(now bvclock.Time) []Usage
	SetPeerUsage(now bvclock.Time, host uint64, usages []Usage)
	Standing(now bvclock.Time, workspace uint32, capacity float64) Standing
}

// scenario is a load on a few hosts. Workspace i+1 has demands[i] and weights[i].
type scenario struct {
	hosts           int
	demands         []float64 // requests per step
	weights         []float64
	capacity        float64
	interval, delay bvclock.Duration // of reports
	seed            uint64
}

const (
	step  = 20 * bvclock.Millisecond
	steps = 200
)

func drawScenario(t *rapid.T) scenario {
	workspaces := rapid.IntRange(2, 6).Draw(t, "workspaces")
	return scenario{
		hosts:    rapid.IntRange(1, 5).Draw(t, "hosts"),
		demands:  rapid.SliceOfN(rapid.Float64Range(0, 1), workspaces, workspaces).Draw(t, "demands"),
		weights:  rapid.SliceOfN(rapid.Float64Range(0.5, 4), workspaces, workspaces).Draw(t, "weights"),
		capacity: rapid.Float64Range(0.1, 4).Draw(t, "capacity"),
		interval: bvclock.Duration(rapid.IntRange(1, 30).Draw(t, "interval")) * step,
		delay:    bvclock.Duration(rapid.IntRange(0, 10).Draw(t, "delay")) * step,
		seed:     rapid.Uint64().Draw(t, "seed"),
	}
}

// run plays a scenario and returns the first wrong decision, and the number of decisions that
// the oracle is certain about.
func (scenario scenario) run(newCounter func() counter) (certain int, err error) {
	random := rand.New(rand.NewPCG(scenario.seed, 1))
	oracle := oracle{scenario: scenario}
	counters := make([]counter, scenario.hosts)
	for i := range counters {
		counters[i] = newCounter()
		counters[i].SetHosts(scenario.hosts-1, scenario.interval)
		counters[i].SetWeights(oracle.weights())
	}
	inFlight := make(map[bvclock.Time][]func())
	for now := bvclock.Time(step); now <= steps*bvclock.Time(step); now = now.Add(step) {
		for i, demand := range scenario.demands {
			if random.Float64() >= demand {
				continue
			}
			host, work := random.IntN(scenario.hosts), 50*random.Float64()
			admitted := !counters[host].Standing(now, uint32(i+1), scenario.capacity).Over
			counters[host].RecordAsk(now, uint32(i+1), work)
			if admitted {
				counters[host].RecordWork(now, uint32(i+1), work)
			}
			oracle.events = append(oracle.events, event{now, i, work, admitted})
		}
		for from, sender := range counters {
			if now%bvclock.Time(scenario.interval) == 0 {
				usages, at := sender.Report(now), now.Add(scenario.delay)
				inFlight[at] = append(inFlight[at], func() {
					for to, receiver := range counters {
						if to != from {
							receiver.SetPeerUsage(at, uint64(from), usages)
						}
					}
				})
			}
		}
		for _, deliver := range inFlight[now] {
			deliver()
		}
		for _, counter := range counters {
			checked, err := oracle.check(now, counter)
			if certain += checked; err != nil {
				return certain, err
			}
		}
	}
	return certain, nil
}

type event struct {
	at        bvclock.Time
	workspace int
	work      float64
	admitted  bool
}

// oracle knows all requests at once.
type oracle struct {
	scenario scenario
	events   []event
}

func (oracle *oracle) weights() map[uint32]float64 {
	weights := make(map[uint32]float64)
	for i, weight := range oracle.scenario.weights {
		weights[uint32(i+1)] = weight
	}
	return weights
}

// check compares a host's standings with the true ones. It is certain about workspaces whose
// use differs from their share by more than what is not reported yet can change.
func (oracle *oracle) check(now bvclock.Time, counter counter) (certain int, err error) {
	lag := oracle.scenario.interval + oracle.scenario.delay + refreshInterval
	count := len(oracle.scenario.weights)
	asked, used, unreported, total := make([]float64, count), make([]float64, count), make([]float64, count), 0.0
	for _, event := range oracle.events {
		age := float64(now.Sub(event.at))
		rate := event.work * math.Exp(-age/float64(Window)) / float64(Window)
		asked[event.workspace] += rate
		if event.admitted {
			used[event.workspace] += rate
		}
		if age > float64(lag) { // it may be counted as of an earlier time
			rate *= math.Exp(float64(lag)/float64(Window)) - 1
		}
		unreported[event.workspace] += rate
		total += rate
	}
	dropped := float64(oracle.scenario.hosts) * minReportedRate // demand that hosts need not count
	level, lightest := oracle.level(asked), math.Inf(1)
	for _, weight := range oracle.scenario.weights {
		lightest = min(lightest, weight)
	}
	var below, above []int
	lacking := false // a workspace below its share has reported demand
	for i, weight := range oracle.scenario.weights {
		bound := unreported[i] + total*weight/lightest + dropped
		switch {
		case used[i] < weight*level-bound:
			below = append(below, i)
			lacking = lacking || asked[i] > unreported[i]+dropped
		case used[i] > weight*level+bound:
			above = append(above, i)
		}
	}
	for _, i := range below {
		if standing := counter.Standing(now, uint32(i+1), oracle.scenario.capacity); standing.Known && standing.Over {
			return certain, fmt.Errorf("workspace %d is below its share and rejected: %+v", i, standing)
		}
	}
	for _, i := range above {
		standing := counter.Standing(now, uint32(i+1), oracle.scenario.capacity)
		if lacking && standing.Known && !standing.Over {
			return certain, fmt.Errorf("workspace %d is above its share and admitted: %+v", i, standing)
		}
	}
	return len(below) + len(above), nil
}

// level finds the rate for each unit of weight at which the capacity is used up, by bisection.
func (oracle *oracle) level(asked []float64) float64 {
	low, high := 0.0, 0.0
	for i, rate := range asked {
		high = max(high, rate/oracle.scenario.weights[i])
	}
	for range 60 {
		middle, used := (low+high)/2, 0.0
		for i, rate := range asked {
			used += min(rate, middle*oracle.scenario.weights[i])
		}
		if used > oracle.scenario.capacity {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// Guards against a workspace that is rejected below its share while another is admitted above.
func TestNoWorkspaceBelowItsShareIsRejectedWhileOneAboveIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, err := drawScenario(t).run(func() counter { return &Shares{} })
		require.NoError(t, err)
	})
}

// unequalScenario is one in which a workspace asks for most of the work.
func unequalScenario() scenario {
	return scenario{hosts: 4, demands: []float64{1, 0.05, 0.05}, weights: []float64{1, 1, 1}, capacity: 0.6, interval: step, seed: 1}
}

func TestOracleIsCertainAboutAnUnequalLoad(t *testing.T) {
	certain, err := unequalScenario().run(func() counter { return &Shares{} })
	require.NoError(t, err)
	require.Greater(t, certain, steps)
}

// deafShares is a broken fake that receives the other hosts' reports and ignores them.
type deafShares struct{ Shares }

func (shares *deafShares) SetPeerUsage(now bvclock.Time, host uint64, _ []Usage) {
	shares.Shares.SetPeerUsage(now, host, []Usage{{Workspace: Remainder}})
}

func TestOracleCatchesAHostThatIgnoresTheOthersReports(t *testing.T) {
	_, err := unequalScenario().run(func() counter { return &deafShares{} })
	require.ErrorContains(t, err, "above its share and admitted")
}
