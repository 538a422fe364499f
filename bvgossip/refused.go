package bvgossip

import (
	"balsamvalve.example/bvadmission"
	"balsamvalve.example/bvclock"
)

// A rejected program may retry at any host. Its tracker records when it was first rejected
// and the time that it was given, and reports both with the program's holding.

// maxRefusedMs bounds the times that another host may state.
const maxRefusedMs = uint32(bvclock.Hour)

// ReportRefusal reports to a program's tracker that the program was rejected. It does not
// wait for the reply: if the report is lost, the program counts as new.
func (gossip *Gossip) ReportRefusal(program uint64, refusal bvadmission.Refusal) {
	now := gossip.clock.Now()
	gossip.mutex.Lock()
	tracker, found := gossip.trackers.ofProgram(program)
	if found && tracker == gossip.own.address {
		gossip.refusals.Record(now, program, refusal)
	}
	gossip.mutex.Unlock()
	if found && tracker != gossip.own.address {
		gossip.sendTo(tracker, &Datagram{Message: &Datagram_Probe{Probe: &Probe{Program: program, Refused: newRefused(refusal)}}})
	}
}

func newRefused(refusal bvadmission.Refusal) *Refused {
	return &Refused{FirstMsAgo: uint32(max(refusal.Waited, 1)), DueInMs: uint32(max(refusal.DueIn, 0))}
}

func refusalFrom(refused *Refused) bvadmission.Refusal {
	return bvadmission.Refusal{
		Waited: bvclock.Duration(min(refused.GetFirstMsAgo(), maxRefusedMs)),
		DueIn:  bvclock.Duration(min(refused.GetDueInMs(), maxRefusedMs)),
	}
}
