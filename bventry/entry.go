// Package bventry takes a call to the owner of its program and brings back the
// answer, whatever happens to owners on the way.
//
// # Usage
//
//	entry := bventry.New(clock, view, peers, owner, counters, log)
//	err := entry.Run(ctx, call, func(event *bvpeer.CallEvent) error {
//		return forward(event)
//	})
package bventry

import (
	"context"
	"errors"
	"io"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvpeer"
	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvtrace"
	"balsamvalve.example/bvverdict"
)

// hostsPerCall bounds how many hosts are asked to own one call's program.
const hostsPerCall = 5

// retryAfterNoOwner is told when no host took the program: the platform's list
// shows a lost host within this time.
const retryAfterNoOwner = 2 * bvclock.Second

// Owner runs calls of the programs that this host owns.
type Owner interface {
	Run(ctx context.Context, call *bvpeer.Call, send func(*bvpeer.CallEvent) error) error
	Fetch(ctx context.Context, member, program, request string) ([]byte, error)
	EndProgram(ctx context.Context, member, program string) error
}

// Entry finds owners. It keeps nothing between calls.
type Entry struct {
	clock bvclock.Clock
	view  *bvhost.View
	peers *bvpeer.Pool
	owner Owner
	count Counter
	log   logrus.FieldLogger
}

// Counter counts how often something happened.
type Counter interface {
	Add(name string, delta int64)
}

// New returns an entry; owner is this host's own.
func New(clock bvclock.Clock, view *bvhost.View, peers *bvpeer.Pool, owner Owner, count Counter, log logrus.FieldLogger) *Entry {
	return &Entry{clock: clock, view: view, peers: peers, owner: owner, count: count, log: log}
}

// Run carries a call to its owner and hands each token and the final answer
// to emit, each once and in order. An owner that is lost is replaced: asking
// another one is safe for every call, because an owner commits its claim, and
// the record of an unrepeatable request, before it sends anything.
func (entry *Entry) Run(ctx context.Context, call *bvpeer.Call, emit func(*bvpeer.CallEvent) error) error {
	ctx, cancel := withDeadline(ctx, call)
	defer cancel()
	relay := &relay{call: call, emit: emit}
	return entry.eachOwner(ctx, call.GetMember(), call.GetProgram(), func(ctx context.Context, host bvplatform.Host) error {
		err := entry.runAt(ctx, host, relay)
		relay.lost = relay.lost || mayHaveBegun(err)
		return err
	})
}

// Fetch returns the kept answer of a request.
func (entry *Entry) Fetch(ctx context.Context, member, program, request string) ([]byte, error) {
	var answer []byte
	err := entry.eachOwner(ctx, member, program, func(ctx context.Context, host bvplatform.Host) (err error) {
		answer, err = entry.fetchAt(ctx, host, member, program, request)
		return err
	})
	return answer, err
}

// EndProgram ends a program.
func (entry *Entry) EndProgram(ctx context.Context, member, program string) error {
	return entry.eachOwner(ctx, member, program, func(ctx context.Context, host bvplatform.Host) error {
		return entry.endAt(ctx, host, member, program)
	})
}

// deadlineGrace is what an owner gets beyond the caller's deadline to say
// itself what became of the call; it knows more than the entry.
const deadlineGrace = 500 * bvclock.Millisecond

// withDeadline bounds a call by its caller's deadline. An owner whose host
// stalls, but still answers pings, would otherwise keep the caller waiting for
// as long as it stalls.
func withDeadline(ctx context.Context, call *bvpeer.Call) (context.Context, context.CancelFunc) {
	if call.GetDeadlineMs() <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, (bvclock.Duration(call.GetDeadlineMs()) + deadlineGrace).Std())
}

// ended says why a call was given up here. It may have run at its owner.
func ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bvverdict.New(bvverdict.MayHaveRun, bvverdict.DeadlinePassed, "the deadline passed before the owner answered").
			WithRetryAfter(retryAfterNoOwner).WithCause(ctx.Err())
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Canceled, "the caller went away").WithCause(ctx.Err())
}

// ProgramKey is the key by which the hosts that may own a program are ranked.
func ProgramKey(member, program string) string {
	return "program/" + member + "/" + program
}

// lostError says that a host gave no final answer.
type lostError struct{ cause error }

func (err *lostError) Error() string { return "host lost: " + err.cause.Error() }
func (err *lostError) Unwrap() error { return err.cause }

// eachOwner asks the candidates for a program until one gives a final answer.
func (entry *Entry) eachOwner(ctx context.Context, member, program string, ask func(context.Context, bvplatform.Host) error) error {
	candidates := entry.view.Candidates(entry.clock.Now(), ProgramKey(member, program))
	var loss error
	for _, host := range candidates[:min(len(candidates), hostsPerCall)] {
		askContext, span := bvtrace.Start(ctx, "relay")
		span.SetProgram(member, program)
		span.SetHost(host.Name)
		err := ask(askContext, host)
		span.End(err)
		bvtrace.LogHop(ctx, entry.log, "owner asked", err, "owner", host.Name)
		if err != nil && ctx.Err() != nil {
			return ended(ctx)
		}
		if lost := new(lostError); errors.As(err, &lost) {
			entry.distrust(host)
			entry.count.Add("lost_owners", 1)
			loss = err
			continue
		}
		if isNotOwner(err) {
			entry.count.Add("declined_calls", 1)
			if mayHaveBegun(err) {
				loss = err
			}
			continue
		}
		return err
	}
	return noOwner(loss)
}

func (entry *Entry) distrust(host bvplatform.Host) {
	if entry.view.MarkUnreachable(entry.clock.Now(), host.Name) {
		entry.log.WithField("host", host.Name).Warn("host was lost during a call")
	}
}

func isNotOwner(err error) bool {
	return err != nil && bvverdict.From(err).Code() == bvverdict.NotOwner
}

// mayHaveBegun reports whether the host that gave this error may have begun
// the call: it was lost, or lost the program in the middle of the call.
func mayHaveBegun(err error) bool {
	if lost := new(lostError); errors.As(err, &lost) {
		return true
	}
	return isNotOwner(err) && bvverdict.Of(err) != bvverdict.NotRun
}

// noOwner is the final answer when every candidate was lost or declined. Where
// one was lost, the call may have run there.
func noOwner(loss error) error {
	if loss != nil {
		return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Internal,
			"the program's host was lost; send the same request again").
			WithRetryAfter(retryAfterNoOwner).WithCause(loss)
	}
	return bvverdict.Refuse(bvverdict.NotOwner, "no host takes the program now").
		WithRetryAfter(retryAfterNoOwner)
}

func (entry *Entry) isSelf(host bvplatform.Host) bool {
	return host.Name == entry.view.Self().Name
}

func (entry *Entry) runAt(ctx context.Context, host bvplatform.Host, relay *relay) error {
	if entry.isSelf(host) {
		return entry.owner.Run(ctx, relay.next(), relay.forward)
	}
	peer, err := entry.peers.Peer(host.PeerAddress)
	if err != nil {
		return &lostError{err}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peer.Run(ctx, relay.next())
	if err != nil {
		return &lostError{err}
	}
	for {
		event, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return &lostError{err}
		}
		if failure := event.GetFailure(); failure != nil {
			return bvpeer.ErrorOf(failure)
		}
		if err := relay.forward(event); err != nil {
			return err
		}
		if event.GetFinished() != nil {
			return nil
		}
	}
}

func (entry *Entry) fetchAt(ctx context.Context, host bvplatform.Host, member, program, request string) ([]byte, error) {
	if entry.isSelf(host) {
		return entry.owner.Fetch(ctx, member, program, request)
	}
	peer, err := entry.peers.Peer(host.PeerAddress)
	if err != nil {
		return nil, &lostError{err}
	}
	reply, err := peer.Fetch(ctx, &bvpeer.FetchRequest{Member: member, Program: program, Request: request})
	if err != nil {
		return nil, &lostError{err}
	}
	if failure := reply.GetFailure(); failure != nil {
		return nil, bvpeer.ErrorOf(failure)
	}
	return reply.GetAnswer(), nil
}

func (entry *Entry) endAt(ctx context.Context, host bvplatform.Host, member, program string) error {
	if entry.isSelf(host) {
		return entry.owner.EndProgram(ctx, member, program)
	}
	peer, err := entry.peers.Peer(host.PeerAddress)
	if err != nil {
		return &lostError{err}
	}
	reply, err := peer.EndProgram(ctx, &bvpeer.EndProgramRequest{Member: member, Program: program})
	if err != nil {
		return &lostError{err}
	}
	if failure := reply.GetFailure(); failure != nil {
		return bvpeer.ErrorOf(failure)
	}
	return nil
}
