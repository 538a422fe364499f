package bvexperiment

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"github.com/stretchr/testify/require"
)

// short reduces a scenario to the duration that a test needs.
func short(scenario *Scenario, contenders ...contender) *Scenario {
	scenario.warmUp = 5000
	scenario.duration = 40 * bvclock.Second
	scenario.measureFrom, scenario.measureTo = scenario.warmUp, scenario.end()
	if len(contenders) > 0 {
		scenario.contenders = contenders
	}
	return scenario
}

func runOne(scenario *Scenario, contender contender) (*records, Outcome) {
	records := newSimulation(scenario, 1, contender, scenario.programs(1)).run()
	return records, summarize(scenario, records)
}

func product() contender {
	return contender{name: nameProduct, newPolicy: newPool, delay: permitDelay}
}

func TestTwoRunsPrintTheSame(t *testing.T) {
	print := func() string {
		report := &Report{Seeds: 2}
		runAll(report.planRuns([]*Scenario{short(newScenario(nameLoad80, "", 0.8))}), 3)
		var text bytes.Buffer
		require.NoError(t, report.Write(&text))
		return text.String()
	}
	first := print()
	require.Contains(t, first, "measure: p50-at-0.80 ratio=")
	require.Equal(t, first, print())
}

func TestUnknownScenarioIsRefused(t *testing.T) {
	_, err := Run(Options{Scenario: "nothing"})
	require.ErrorContains(t, err, "nothing")
}

func TestEveryPolicyAnswersEveryProgramAtLowLoad(t *testing.T) {
	for _, contender := range append(standardContenders(), decisionContenders()...) {
		scenario := short(newScenario("low", "", 0.2))
		records, _ := runOne(scenario, contender)
		require.Zero(t, records.failed, contender.name)
		require.NotEmpty(t, records.samples, contender.name)
	}
}

func TestLoadIsTheFractionOfTheSlotsThatProgramsOccupy(t *testing.T) {
	pool := defaultPool()
	const span = 2000 * bvclock.Second
	seconds := 0.0
	for _, program := range brindleyMix().arrivals(3, 0.5, pool, 0, bvclock.Time(span)) {
		seconds += program.seconds(pool.config, 0)
	}
	require.InEpsilon(t, 0.5, seconds/span.Std().Seconds()/float64(pool.slots()), 0.1)
}

func TestSubAgentsCarryTheirParentsKeyAndPriority(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	shape := bookingShape()
	shape.subAgents = 1
	program := shape.drawProgram(random, piran, "p")
	for at, step := range program.steps[:len(program.steps)-1] {
		require.NotEmpty(t, step.children, at)
		require.Equal(t, hostOf("p"), hostOf(step.children[0].key))
	}
}

// neverReleases is a Pool whose releases are lost.
type neverReleases struct{ *bvgate.Pool }

func (policy neverReleases) Tick(now bvclock.Time) []bvgate.Effect {
	return slices.DeleteFunc(policy.Pool.Tick(now), func(effect bvgate.Effect) bool {
		_, lost := effect.(bvgate.Release)
		return lost
	})
}

// Guards against a measurement that does not show memory held for ended programs.
func TestLostReleasesShowAsWaste(t *testing.T) {
	broken := contender{newPolicy: func(uint64) Policy { return neverReleases{newTunedPool()} }}
	_, unreleased := runOne(short(newScenario("usual", "", 0.5)), broken)
	_, released := runOne(short(newScenario("usual", "", 0.5)), product())
	require.Greater(t, unreleased.WastedEnded, 10*released.WastedEnded)
}

// equalWeights is a Pool that receives the same weight for all members.
type equalWeights struct{ *bvgate.Pool }

func (policy equalWeights) SetMembers(shares []bvgate.MemberShare) {
	shares = slices.Clone(shares)
	for at := range shares {
		shares[at].Weight = 1
	}
	policy.Pool.SetMembers(shares)
}

// Guards against a measurement that does not show a wrong share.
func TestWrongWeightsShowAsShareError(t *testing.T) {
	broken := contender{newPolicy: func(uint64) Policy { return equalWeights{newTunedPool()} }}
	backlogged := func() *Scenario {
		scenario := backlog()
		scenario.duration = 60 * bvclock.Second
		return scenario
	}
	_, wrong := runOne(backlogged(), broken)
	_, right := runOne(backlogged(), product())
	require.Greater(t, wrong.ShareMedian, 0.5)
	require.Less(t, right.ShareMedian, 0.25)
}

// ignoresLeaving is a Pool that does not learn that an endpoint is leaving.
type ignoresLeaving struct{ *bvgate.Pool }

func (policy ignoresLeaving) UpdateEndpoint(now bvclock.Time, report bvgate.EndpointReport) {
	report.Leaving = false
	policy.Pool.UpdateEndpoint(now, report)
}

// Guards against a measurement that does not show calls to a leaving engine.
func TestCallsToALeavingEndpointAreCounted(t *testing.T) {
	leaving := func() *Scenario {
		scenario := short(newScenario("leaving", "", 0.8))
		scenario.faults = []fault{leaveEndpoint(6000, "engine-03")}
		return scenario
	}
	_, wrong := runOne(leaving(), contender{newPolicy: func(uint64) Policy { return ignoresLeaving{newTunedPool()} }})
	_, right := runOne(leaving(), product())
	require.Positive(t, wrong.SentToLeaving)
	require.Zero(t, right.SentToLeaving)
}

// Guards against a measurement that does not show repeated work.
func TestCrashedZoneCountsWorkDoneTwice(t *testing.T) {
	scenario := short(newScenario("crash", "", 0.6))
	scenario.faults = []fault{crashZone(10_000, "zone-1", 20*bvclock.Second)}
	records, outcome := runOne(scenario, product())
	require.Positive(t, records.crashLost)
	require.Positive(t, outcome.RepeatedWork)
	require.Zero(t, records.failed)
}

// Guards against programs that fail when the deciding host fails.
func TestFailedDecidingHostFailsNoProgram(t *testing.T) {
	scenario := newScenario("killed", "", 0.3)
	scenario.warmUp, scenario.duration = faultAt-10_000, 40*bvclock.Second
	scenario.measureFrom, scenario.measureTo = scenario.warmUp, scenario.end()
	records, outcome := runOne(scenario, contender{newPolicy: newKilledGate, delay: permitDelay})
	require.Zero(t, records.failed)
	require.Positive(t, outcome.Answers)
}

func TestPercentileIsNearestRank(t *testing.T) {
	samples := []float64{4, 1, 3, 2}
	require.Equal(t, 2.0, percentile(samples, 0.5))
	require.Equal(t, 4.0, percentile(samples, 0.99))
	require.Zero(t, percentile(nil, 0.5))
}

func TestRetryAfterIsComparedWithTheTimeOfAcceptance(t *testing.T) {
	submissions := []submission{
		{call: 1, member: piran, submittedAt: 0, refused: true, refusedAt: 2, retryAfter: 8002},
		{call: 2, member: piran, submittedAt: 1000, refused: true, refusedAt: 1002, retryAfter: 8000},
		{call: 3, member: brindley, submittedAt: 1500},
		{call: 1, member: piran, submittedAt: 4003},
		{call: 4, member: piran, submittedAt: 5002},
	}
	var outcome Outcome
	outcome.summarizeRefusals(submissions)
	require.Equal(t, 2, outcome.Refusals)
	require.InDelta(t, 4000, outcome.RetryAfterActual, 1, "each request queues behind those refused before it")
	require.InDelta(t, 2, outcome.RetryAfterFactor, 0.01)
	require.InDelta(t, 2, outcome.RefusalDelay, 0)
}

func TestPlotWritesAFile(t *testing.T) {
	report := &Report{Seeds: 1}
	runAll(report.planRuns([]*Scenario{short(newScenario("load-0.50", "", 0.5))}), 2)
	require.NoError(t, report.Plot(t.TempDir()+"/latency.svg"))
	require.Error(t, report.Plot(t.TempDir()+"/latency.unknown"))
}
