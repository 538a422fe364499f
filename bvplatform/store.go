// Package bvplatform defines the project's interface to the platform: its
// transactional table service, its object store and its list of hosts. Another
// platform is supported by implementing Store, Objects and HostList; no other
// package depends on how the platform is reached.
//
// Memory implements all three in memory, for tests and for the platform
// stand-in. Client implements the stand-in's HTTP protocol.
//
// # Usage
//
//	store := &bvplatform.Memory{}
//	version, err := store.Commit(ctx, bvplatform.Transaction{
//		Attempt: "host-1/17",
//		Checks:  []bvplatform.Check{{Key: "program/piran/p1", Version: 0}},
//		Puts:    []bvplatform.Put{{Key: "program/piran/p1", Value: value}},
//	})
//
// An error that wraps ErrUnknown means that the write may have taken effect:
// read back and compare Row.Attempt, never retry blindly.
package bvplatform

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Row is a row of the table service.
type Row struct {
	Key     string
	Value   []byte
	Version int64  // of the transaction that last wrote the row; 0: absent
	Attempt string // of the transaction that last wrote the row
}

// Check makes a transaction conditional on a row's version.
type Check struct {
	Key     string
	Version int64
}

// Put writes a row; a nil Value deletes it.
type Put struct {
	Key   string
	Value []byte
}

// Transaction is applied atomically. It counts as one write.
type Transaction struct {
	Attempt string // unique over all hosts, never reused
	Checks  []Check
	Puts    []Put
}

// Store is the platform's transactional table service.
type Store interface {
	// Commit applies the transaction if all its checks hold, and returns the
	// transaction's version, which becomes the version of all rows that it put.
	// Versions increase with each transaction and are never reused.
	//
	// It returns a *ConflictError when a check failed, and an error wrapping
	// ErrUnknown when the outcome is unknown. Any other error means that the
	// transaction was not applied.
	Commit(ctx context.Context, transaction Transaction) (version int64, err error)
	// Read returns one row per key, in order; absent rows have Version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose keys begin with prefix and sort
	// after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store. Objects are never overwritten:
// a second Put under the same name must carry the same content.
type Objects interface {
	PutObject(ctx context.Context, name string, content []byte) error
	Object(ctx context.Context, name string) ([]byte, error)
	DeleteObject(ctx context.Context, name string) error
}

//go:generate stringer -type=HostState -linecomment -output=hoststate_string.go

// HostState is the state of a host on the platform's lagging list.
type HostState int

// The states of a host.
const (
	HostLive    HostState = iota // live
	HostLeaving                  // leaving
)

// Host is an entry of the platform's list of balsamvalve hosts.
type Host struct {
	Name        string    // also its identity for rendezvous hashing
	PeerAddress string    // IP and port of the gRPC listener
	Zone        string    // availability zone
	Incarnation string    // differs with each start of the process
	State       HostState // live or leaving
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
	// Announce adds or updates the caller's own entry, which lapses unless
	// announced again within a few seconds.
	Announce(ctx context.Context, host Host) error
}

// ErrUnknown marks a write whose outcome is unknown.
var ErrUnknown = errors.New("platform: outcome of write unknown")

// ErrUnavailable marks a call that the platform did not carry out.
var ErrUnavailable = errors.New("platform: unavailable")

// ErrRejected marks a transaction that the platform will never carry out,
// for instance because it is too large.
var ErrRejected = errors.New("platform: transaction rejected")

// ErrNotFound marks an object or row that is absent.
var ErrNotFound = errors.New("platform: object not found")

// ConflictError names the keys whose checks failed. Nothing was applied.
type ConflictError struct {
	Keys []string
	// Rows are the current checked rows, if the platform returns them; this
	// saves reading them before the next attempt.
	Rows []Row `json:",omitempty"`
}

// Error implements error.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict on %s", strings.Join(err.Keys, ", "))
}
