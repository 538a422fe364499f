package bvforward

import (
	"context"
	"errors"
	"syscall"

	"balsamvalve.example/bvplatform"
)

//go:generate stringer -type=Liveness -linecomment -output=liveness_string.go

// Liveness is what a check found out about an endpoint.
type Liveness int

// The results of a check.
const (
	Unknown Liveness = iota // unknown
	Running                 // running
	Refused                 // connection refused
)

// Check finds out whether an endpoint at which a call has just broken still runs: it has an open
// connection to this host, or accepts a new one. It sends no request. The sockets of a process
// that crashes are not all closed at the same time: only a later check shows it for certain.
func (connections *Connections) Check(ctx context.Context, endpoint bvplatform.Endpoint) Liveness {
	if open := connections.takeIdle(endpoint.ID(), ""); open != nil {
		connections.returnIdle(open)
		return Running
	}
	opened, err := connections.dial(ctx, endpoint)
	if err != nil {
		return livenessOf(err)
	}
	opened.idleTimeout = defaultIdleTimeout
	connections.putIdle(opened)
	return Running
}

// livenessOf returns the liveness that an error of a connection attempt shows.
func livenessOf(err error) Liveness {
	if IsRefused(err) {
		return Refused
	}
	return Unknown
}

// IsRefused reports whether the endpoint's machine refused a connection: nothing listens at its
// address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
