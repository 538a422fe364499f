package bvgate

import (
	"testing"

	"balsamvalve.example/bvclock"
)

// benchmarkDecide measures all steps of a request in a loaded pool: Submit, Tick,
// MarkUsed and Finish. All slots are taken and eight requests wait for each endpoint;
// programs return to their caches or, if cold is set, consist of one call.
func benchmarkDecide(b *testing.B, count int, cold bool) {
	const slots, turns = 16, 12
	engines := newEngines(count, slots)
	pool := engines.pool
	pool.SetMembers([]MemberShare{{Member: "a", Weight: 3}, {Member: "b", Weight: 1}})
	programs := make([]string, count*slots*2)
	for i := range programs {
		programs[i] = "p" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676%26)) + string(rune('a'+i/17576%26))
	}
	members := [2]string{"a", "b"}
	next := 0
	submit := func() {
		i := next % len(programs)
		turn := next / len(programs) % turns
		program := programs[i]
		if cold {
			program = ""
		}
		engines.submit(Request{
			Member: members[i%2], Program: program, AttainedService: Work(500 * turn),
			PromptTokens: 600 * (turn + 1), OutputTokens: 60 + i%80, Fingerprint: uint64(next + 1),
		})
		next++
	}
	for range count * (slots + 8) {
		submit()
	}
	engines.tick()
	step := func() {
		ended := engines.ends[0].id
		request := engines.finishNext()
		delete(engines.submitted, ended)
		if request.PromptTokens >= 600*turns {
			pool.EndProgram(engines.now, request.Member, request.Program)
		}
		submit()
		for _, effect := range engines.tick() {
			if release, ok := effect.(Release); ok {
				pool.ConfirmRelease(engines.now, release.Endpoint, release.Member, release.Program)
			}
		}
		engines.started = engines.started[:0]
	}
	for range 3 * len(programs) {
		step()
	}
	engines.now = max(engines.now, bvclock.Time(bvclock.Second))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		step()
	}
}

func BenchmarkDecide76(b *testing.B)       { benchmarkDecide(b, 76, false) }
func BenchmarkDecide1000(b *testing.B)     { benchmarkDecide(b, 1000, false) }
func BenchmarkDecide4200(b *testing.B)     { benchmarkDecide(b, 4200, false) }
func BenchmarkDecideCold76(b *testing.B)   { benchmarkDecide(b, 76, true) }
func BenchmarkDecideCold4200(b *testing.B) { benchmarkDecide(b, 4200, true) }
