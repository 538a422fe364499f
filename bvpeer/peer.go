// Package bvpeer implements the protocol between daemons: the generated gRPC code, the
// encoding of errors, and the connections to the other hosts.
//
// # Usage
//
//	pool := &bvpeer.Pool{}
//	client, err := pool.Peer(host.PeerAddress)
//	stream, err := client.Run(ctx, call)
package bvpeer

//go:generate sh -c "cd .. && buf generate --path bvpeer/peer.proto"

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

// EncodeFailure encodes an error for the wire.
func EncodeFailure(err error) *Failure {
	verdict := bvverdict.From(err)
	return &Failure{
		Verdict:      int32(verdict.Verdict()),
		Code:         int32(verdict.Code()),
		Reason:       verdict.Reason(),
		RetryAfterMs: int64(verdict.RetryAfter()),
	}
}

// DecodeFailure decodes an error from the wire. A verdict that is unknown to this version
// becomes MayHaveRun.
func DecodeFailure(failure *Failure) *bvverdict.Error {
	verdict := bvverdict.Verdict(failure.GetVerdict())
	if verdict != bvverdict.NotRun && verdict != bvverdict.Ran {
		verdict = bvverdict.MayHaveRun
	}
	code := bvverdict.Code(failure.GetCode())
	retryAfter := bvclock.Duration(failure.GetRetryAfterMs())
	return bvverdict.New(verdict, code, "%s", failure.GetReason()).WithRetryAfter(retryAfter)
}
