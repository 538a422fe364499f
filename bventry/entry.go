// Package bventry forwards a call to the owner of its program and returns the answer, also
// when owners fail or become unreachable meanwhile.
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

// maxHostsPerCall bounds how many hosts one call is sent to as possible owners.
const maxHostsPerCall = 5

// retryAfterNoOwner is the time after which a caller should retry when no host accepted
// the program: by then, the platform's list shows that a host has failed.
const retryAfterNoOwner = 2 * bvclock.Second

// Owner runs calls of the programs that this host owns.
type Owner interface {
	Run(ctx context.Context, call *bvpeer.Call, send func(*bvpeer.CallEvent) error) error
	Fetch(ctx context.Context, member, program, request string) ([]byte, error)
	EndProgram(ctx context.Context, member, program string) error
}

// Entry forwards calls to owners. It keeps no state between calls.
type Entry struct {
	clock   bvclock.Clock
	view    *bvhost.View
	peers   *bvpeer.Pool
	owner   Owner
	counter Counter
	log     logrus.FieldLogger
}

// Counter counts events by name.
type Counter interface {
	Add(name string, delta int64)
}

// New returns an entry; owner runs the calls of programs that this host owns.
func New(clock bvclock.Clock, view *bvhost.View, peers *bvpeer.Pool, owner Owner, counter Counter, log logrus.FieldLogger) *Entry {
	return &Entry{clock: clock, view: view, peers: peers, owner: owner, counter: counter, log: log}
}

// Run forwards a call to its owner and passes each token and the final answer to emit,
// each once and in order. If an owner fails or becomes unreachable, the next candidate gets
// the call. That is safe for every call, because an owner commits its claim, and the record
// of an unrepeatable request, before it sends anything.
func (entry *Entry) Run(ctx context.Context, call *bvpeer.Call, emit func(*bvpeer.CallEvent) error) error {
	ctx, cancel := withDeadline(ctx, call)
	defer cancel()
	forwarder := &forwarder{call: call, emit: emit}
	return entry.tryCandidates(ctx, call.GetMember(), call.GetProgram(), func(ctx context.Context, host bvplatform.Host) error {
		err := entry.runAt(ctx, host, forwarder)
		forwarder.resend = forwarder.resend || mayHaveBegun(err)
		return err
	})
}

// Fetch returns the persisted answer to a request.
func (entry *Entry) Fetch(ctx context.Context, member, program, request string) ([]byte, error) {
	var answer []byte
	err := entry.tryCandidates(ctx, member, program, func(ctx context.Context, host bvplatform.Host) (err error) {
		answer, err = entry.fetchAt(ctx, host, member, program, request)
		return err
	})
	return answer, err
}

// EndProgram ends a program.
func (entry *Entry) EndProgram(ctx context.Context, member, program string) error {
	return entry.tryCandidates(ctx, member, program, func(ctx context.Context, host bvplatform.Host) error {
		return entry.endProgramAt(ctx, host, member, program)
	})
}

// deadlineGrace is the time beyond the caller's deadline in which the owner may still
// report the outcome itself; it knows more about the call than the entry.
const deadlineGrace = 500 * bvclock.Millisecond

// withDeadline bounds a call by its caller's deadline. Otherwise an owner whose host
// stalls, but still answers pings, would keep the caller waiting for as long as it stalls.
func withDeadline(ctx context.Context, call *bvpeer.Call) (context.Context, context.CancelFunc) {
	if call.GetDeadlineMs() <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, (bvclock.Duration(call.GetDeadlineMs()) + deadlineGrace).Std())
}

// contextError returns the error of a call whose context ended here. The call may have run
// at its owner.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return bvverdict.New(bvverdict.MayHaveRun, bvverdict.DeadlinePassed, "the deadline passed before the owner answered").
			WithRetryAfter(retryAfterNoOwner).WithCause(ctx.Err())
	}
	return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Canceled, "the caller canceled the call").WithCause(ctx.Err())
}

// ProgramKey returns the rendezvous key by which the hosts that may own a program are
// ranked.
func ProgramKey(member, program string) string {
	return "program/" + member + "/" + program
}

// noAnswerError means that a host gave no final answer: it failed or was unreachable.
type noAnswerError struct{ cause error }

func (err *noAnswerError) Error() string {
	return "no final answer from the host: " + err.cause.Error()
}
func (err *noAnswerError) Unwrap() error { return err.cause }

// tryCandidates sends to the candidates for a program, one after the other, until one gives
// a final answer.
func (entry *Entry) tryCandidates(ctx context.Context, member, program string, send func(context.Context, bvplatform.Host) error) error {
	candidates := entry.view.Candidates(entry.clock.Now(), ProgramKey(member, program))
	var lastFailure error
	for _, host := range candidates[:min(len(candidates), maxHostsPerCall)] {
		hostContext, span := bvtrace.Start(ctx, "relay")
		span.SetProgram(member, program)
		span.SetHost(host.Name)
		err := send(hostContext, host)
		span.End(err)
		bvtrace.LogHop(ctx, entry.log, "owner asked", err, "owner", host.Name)
		if err != nil && ctx.Err() != nil {
			return contextError(ctx)
		}
		if noAnswer := new(noAnswerError); errors.As(err, &noAnswer) {
			entry.markUnreachable(host)
			entry.counter.Add("lost_owners", 1)
			lastFailure = err
			continue
		}
		if isNotOwner(err) {
			entry.counter.Add("declined_calls", 1)
			if mayHaveBegun(err) {
				lastFailure = err
			}
			continue
		}
		return err
	}
	return noOwnerError(lastFailure)
}

func (entry *Entry) markUnreachable(host bvplatform.Host) {
	if entry.view.MarkUnreachable(entry.clock.Now(), host.Name) {
		entry.log.WithField("host", host.Name).Warn("host was lost during a call")
	}
}

func isNotOwner(err error) bool {
	return err != nil && bvverdict.From(err).Code() == bvverdict.NotOwner
}

// mayHaveBegun reports whether the host that returned this error may have begun the call:
// it gave no final answer, or lost ownership of the program during the call.
func mayHaveBegun(err error) bool {
	if noAnswer := new(noAnswerError); errors.As(err, &noAnswer) {
		return true
	}
	return isNotOwner(err) && bvverdict.Of(err) != bvverdict.NotRun
}

// noOwnerError returns the final error when every candidate failed or declined. If one may
// have begun the call, the call may have run there.
func noOwnerError(lastFailure error) error {
	if lastFailure != nil {
		return bvverdict.New(bvverdict.MayHaveRun, bvverdict.Internal,
			"the program's host failed or became unreachable; send the same request again").
			WithRetryAfter(retryAfterNoOwner).WithCause(lastFailure)
	}
	return bvverdict.Refuse(bvverdict.NotOwner, "no host accepts the program now").
		WithRetryAfter(retryAfterNoOwner)
}

func (entry *Entry) isSelf(host bvplatform.Host) bool {
	return host.Name == entry.view.Self().Name
}

func (entry *Entry) runAt(ctx context.Context, host bvplatform.Host, forwarder *forwarder) error {
	if entry.isSelf(host) {
		return entry.owner.Run(ctx, forwarder.nextCall(), forwarder.forward)
	}
	peer, err := entry.peers.Peer(host.PeerAddress)
	if err != nil {
		return &noAnswerError{err}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peer.Run(ctx, forwarder.nextCall())
	if err != nil {
		return &noAnswerError{err}
	}
	for {
		event, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return &noAnswerError{err}
		}
		if failure := event.GetFailure(); failure != nil {
			return bvpeer.DecodeFailure(failure)
		}
		if err := forwarder.forward(event); err != nil {
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
		return nil, &noAnswerError{err}
	}
	reply, err := peer.Fetch(ctx, &bvpeer.FetchRequest{Member: member, Program: program, Request: request})
	if err != nil {
		return nil, &noAnswerError{err}
	}
	if failure := reply.GetFailure(); failure != nil {
		return nil, bvpeer.DecodeFailure(failure)
	}
	return reply.GetAnswer(), nil
}

func (entry *Entry) endProgramAt(ctx context.Context, host bvplatform.Host, member, program string) error {
	if entry.isSelf(host) {
		return entry.owner.EndProgram(ctx, member, program)
	}
	peer, err := entry.peers.Peer(host.PeerAddress)
	if err != nil {
		return &noAnswerError{err}
	}
	reply, err := peer.EndProgram(ctx, &bvpeer.EndProgramRequest{Member: member, Program: program})
	if err != nil {
		return &noAnswerError{err}
	}
	if failure := reply.GetFailure(); failure != nil {
		return bvpeer.DecodeFailure(failure)
	}
	return nil
}
