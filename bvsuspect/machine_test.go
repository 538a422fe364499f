package bvsuspect

import (
	"context"
	"errors"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

// gatedStore is a store that may be unavailable.
type gatedStore struct {
	bvplatform.Memory
	down bool
}

func (store *gatedStore) Commit(ctx context.Context, transaction bvplatform.Transaction) (int64, error) {
	if store.down {
		return 0, bvplatform.ErrUnavailable
	}
	return store.Memory.Commit(ctx, transaction)
}

func (store *gatedStore) Scan(ctx context.Context, prefix, after string, limit int) ([]bvplatform.Row, error) {
	if store.down {
		return nil, bvplatform.ErrUnavailable
	}
	return store.Memory.Scan(ctx, prefix, after, limit)
}

// machine plays hosts with requests that crash each endpoint, and others that crash none. Its oracle is what
// truly happened.
type machine struct {
	t *rapid.T
	// isSameRequest: one request crashes the endpoints; otherwise different ones by the part in common.
	isSameRequest bool

	store gatedStore
	hosts []*machineHost

	endpoints uint64          // started so far
	crashedAt []bvclock.Time  // endpoints that the culprit crashed
	inFlight  map[uint64]bool // innocent requests at the next endpoint to crash
	claimedAt map[string]bvclock.Time
	answered  map[uint64]machineAnswer // innocent requests that were answered since their last crash
}

// machineAnswer is the last answer to an innocent request. A host that does not know of the crashes
// remembers it for answerWindow.
type machineAnswer struct {
	host *machineHost // that knows it; nil: all do
	at   bvclock.Time
}

type machineHost struct {
	*Suspects
	clock *bvclock.Manual
}

const (
	culprit        = 1000
	culpritPart    = 2000
	innocents      = 4
	machineHosts   = 3
	machineLatency = 5 * bvclock.Millisecond
)

func (machine *machine) newHost(now bvclock.Time) *machineHost {
	suspects, clock := newHostSuspects(&machine.store, bvclock.Duration(now))
	suspects.unixMilli = func() int64 { return int64(clock.Now()) }
	return &machineHost{suspects, clock}
}

func (machine *machine) now() bvclock.Time { return machine.hosts[0].clock.Now() }

func (machine *machine) advance(duration bvclock.Duration) {
	for _, host := range machine.hosts {
		host.clock.Advance(duration)
	}
}

func (machine *machine) host() *machineHost {
	return machine.hosts[rapid.IntRange(0, machineHosts-1).Draw(machine.t, "host")]
}

// culpritContent returns the next request that crashes its endpoint.
func (machine *machine) culpritContent() Content {
	if machine.isSameRequest {
		return contentOf(request(culprit))
	}
	return Content{Request: request(culprit + machine.endpoints), Shared: []Fingerprint{newShared(Part, culpritPart)}}
}

// crashLimit is the number of crashes from which the culprit is denied.
func (machine *machine) crashLimit() int {
	if machine.isSameRequest {
		return crashLimit
	}
	return sharedCrashLimit
}

// innocentContent returns a request that crashes nothing. Each two of them have a part in common.
func innocentContent(innocent uint64) Content {
	return Content{Request: request(innocent), Shared: []Fingerprint{newShared(Part, 100+innocent/2)}}
}

// haveCommonPart reports whether two innocent requests have a part in common.
func haveCommonPart(a, b uint64) bool { return a/2 == b/2 }

// mayRun reports whether a host lets a request run, with its claim if it has one.
func (host *machineHost) mayRun(content Content) (*Claim, bool) {
	decision := host.Decide(content)
	switch decision.Access {
	case Denied:
		return nil, false
	case Exclusive:
		claim, err := host.Claim(context.Background(), decision)
		return claim, err == nil
	}
	return nil, true
}

// SendCulprit sends the request that crashes its endpoint and what else is in flight there.
func (machine *machine) SendCulprit(t *rapid.T) {
	host, content := machine.host(), machine.culpritContent()
	claim, runs := host.mayRun(content)
	if !runs {
		return
	}
	machine.endpoints++
	machine.advance(machineLatency + sharedAnswerWindow)
	host.RecordBrokenCall(BrokenCall{Content: content, Endpoint: machine.endpoints, Exclusive: claim != nil})
	for innocent := range machine.inFlight {
		host.RecordBrokenCall(BrokenCall{Content: innocentContent(innocent), Endpoint: machine.endpoints})
		maps.DeleteFunc(machine.answered, func(other uint64, _ machineAnswer) bool { return haveCommonPart(innocent, other) })
	}
	machine.inFlight = make(map[uint64]bool)
	host.RecordEndpointLoss(machine.endpoints, Refused)
	machine.crashedAt = append(machine.crashedAt, machine.now())
	if claim == nil {
		return
	}
	if at, found := machine.claimedAt[claim.key()]; found {
		require.GreaterOrEqual(t, machine.now().Sub(at), claimLifetime, "two exclusive runs for the same crashes")
	}
	machine.claimedAt[claim.key()] = machine.now()
	host.EndClaim(claim)
}

// BeginInnocent puts a request that crashes nothing at the endpoint that crashes next.
func (machine *machine) BeginInnocent(t *rapid.T) {
	innocent := rapid.Uint64Range(1, innocents).Draw(t, "innocent")
	if claim, runs := machine.host().mayRun(innocentContent(innocent)); runs && claim == nil {
		machine.inFlight[innocent] = true
	}
}

// AnswerInnocent lets a request that crashes nothing run to its end.
func (machine *machine) AnswerInnocent(t *rapid.T) {
	innocent, host := rapid.Uint64Range(1, innocents).Draw(t, "innocent"), machine.host()
	claim, runs := host.mayRun(innocentContent(innocent))
	if !runs {
		return
	}
	machine.answer(host, innocent)
	machine.answered[innocent] = machineAnswer{host, machine.now()}
	if claim != nil {
		host.EndClaim(claim)
	}
}

// answer records answers to an innocent request at a host until no crash counts against its part: each
// answer withdraws one.
func (machine *machine) answer(host *machineHost, innocent uint64) {
	content := innocentContent(innocent)
	sentAt := host.clock.Now()
	machine.advance(machineLatency)
	for range len(machine.crashedAt) + 1 {
		host.RecordAnswer(Answer{Content: content, SentAt: sentAt})
	}
}

// Report sends one host's reports to another.
func (machine *machine) Report(t *rapid.T) {
	from, to := machine.host(), machine.host()
	for _, report := range from.Reports() {
		to.AddPeerReport("other", report)
	}
}

// Restart replaces a host, which knows nothing but what the store has.
func (machine *machine) Restart(t *rapid.T) {
	at := rapid.IntRange(0, machineHosts-1).Draw(t, "restarted")
	maps.DeleteFunc(machine.answered, func(_ uint64, answer machineAnswer) bool { return answer.host == machine.hosts[at] })
	machine.hosts[at] = machine.newHost(machine.now())
	_ = machine.hosts[at].Load(context.Background()) // fails while the store is unavailable
}

func (machine *machine) Save(t *rapid.T) {
	err := machine.host().Save(context.Background())
	require.True(t, err == nil || machine.store.down, err)
}

func (machine *machine) ToggleStore(*rapid.T) { machine.store.down = !machine.store.down }

func (machine *machine) Wait(t *rapid.T) {
	machine.advance(bvclock.Duration(rapid.Int64Range(1, int64(15*bvclock.Second)).Draw(t, "wait")))
}

// Synchronize exchanges all reports between all hosts and saves them, and checks what hosts
// decide then.
func (machine *machine) Synchronize(t *rapid.T) {
	machine.store.down = false
	maps.DeleteFunc(machine.answered, func(_ uint64, answer machineAnswer) bool {
		return answer.host != nil && machine.now().Sub(answer.at) >= answerWindow
	})
	for range 2 {
		for _, from := range machine.hosts {
			require.NoError(t, from.Load(context.Background()))
			for _, to := range machine.hosts {
				for _, report := range from.allReports() {
					to.AddPeerReport("other", report)
				}
			}
		}
	}
	for _, host := range machine.hosts {
		require.NoError(t, host.Save(context.Background()))
		machine.checkInnocents(t, host)
	}
	for innocent := range machine.answered {
		machine.answered[innocent] = machineAnswer{}
	}
	for _, host := range machine.hosts[1:] {
		expected, decided := machine.hosts[0].Decide(machine.culpritContent()), host.Decide(machine.culpritContent())
		if max(expected.Crashes, decided.Crashes) >= exclusiveCrashes {
			require.Equal(t, expected, decided, "hosts differ")
		}
	}
}

func (host *machineHost) allReports() (reports []Report) {
	for _, suspect := range host.table.suspects {
		reports = append(reports, suspect.reports(host.clock.Now())...)
	}
	return reports
}

func (machine *machine) checkInnocents(t *rapid.T, host *machineHost) {
	for innocent := range machine.answered {
		require.Equal(t, Free, host.Decide(innocentContent(innocent)).Access, "request %d was answered since its last crash", innocent)
	}
}

// Check implements rapid.StateMachine.
func (machine *machine) Check(t *rapid.T) {
	for _, host := range machine.hosts {
		known := host.Decide(machine.culpritContent())
		require.LessOrEqual(t, known.Crashes, len(machine.crashedAt), "a crash that did not happen")
		if known.Crashes < machine.crashLimit() {
			continue
		}
		last := machine.crashedAt[len(machine.crashedAt)-1]
		pauseIsOver := host.clock.Now().Sub(last) >= exclusivePauses[0]
		require.True(t, known.Access == Denied || pauseIsOver || known.Crashes < len(machine.crashedAt), "it runs again too soon")
	}
}

// Guards against hosts that disagree on a request when reports are lost and hosts restart.
func TestHostsAgreeOnTheRequestThatCrashesEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &machine{t: t, isSameRequest: rapid.Bool().Draw(t, "same request"), inFlight: make(map[uint64]bool), claimedAt: make(map[string]bvclock.Time), answered: make(map[uint64]machineAnswer)}
		for range machineHosts {
			machine.hosts = append(machine.hosts, machine.newHost(bvclock.Time(bvclock.Hour)))
		}
		t.Repeat(rapid.StateMachineActions(machine))
	})
}

// Guards against a check of the machine that can't fail.
func TestMachineCatchesAnInnocentRequestThatIsRefused(t *testing.T) {
	err := rapidFailure(func(t *rapid.T) {
		machine := &machine{t: t, answered: map[uint64]machineAnswer{1: {}}}
		host := machine.newHost(0)
		host.crash(request(1), 0, crashLimit)
		machine.checkInnocents(t, host)
	})
	require.Error(t, err)
}

// rapidFailure returns an error if a property fails for its first draw.
func rapidFailure(property func(*rapid.T)) (err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("the property failed")
		}
	}()
	rapid.Custom(func(t *rapid.T) int { property(t); return 0 }).Example(1)
	return nil
}
