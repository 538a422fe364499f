package bvledger

import (
	"encoding/json"
	"fmt"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

//go:generate stringer -type=State,onceState -linecomment -output=state_string.go

// State is the stage of a program's life cycle.
type State int

// The states of a program.
const (
	Running          State = iota // running
	EndedByCaller                 // ended by its caller
	EndedIdle                     // ended after its idle limit
	EndedAtCallLimit              // ended at its limit of calls
)

// IsEnded reports whether the program accepts no more calls.
func (state State) IsEnded() bool {
	return state != Running
}

// head is the row with a program's owner and progress. Only the owner writes it, each
// time conditional on the version of its previous write, so a stale owner's next write
// fails.
type head struct {
	Epoch     int64            `json:"epoch"`
	Owner     string           `json:"owner"`
	Parent    string           `json:"parent,omitempty"`
	State     State            `json:"state"`
	Turns     int              `json:"turns"`
	Calls     int              `json:"calls"` // started calls, persisted or not
	Spent     int64            `json:"spent"`
	Drawn     int64            `json:"drawn"` // budget drawn in blocks, spent or not
	Digest    string           `json:"digest"`
	Pending   []string         `json:"pending,omitempty"`   // unrepeatable requests that may still be running
	Endpoint  string           `json:"endpoint,omitempty"`  // endpoint of the last turn
	Endpoints []string         `json:"endpoints,omitempty"` // endpoints that may hold the program's cache
	Idle      bvclock.Duration `json:"idle,omitempty"`
}

func (head head) clone() head {
	head.Endpoints = slices.Clone(head.Endpoints)
	head.Pending = slices.Clone(head.Pending)
	return head
}

// AnyEndpoint stands in a program's list of endpoints for every endpoint that could
// have run it: a former owner has failed and may have sent a call to any of them.
const AnyEndpoint = "*"

// spentAtClaim returns how much counts as spent for a new owner. A former owner that
// handed the program over has settled its block; otherwise it is unknown how much of
// the block was spent, and all of it counts.
func (head head) spentAtClaim() int64 {
	if head.Owner == "" {
		return head.Spent
	}
	return max(head.Spent, head.Drawn)
}

func (head *head) addEndpoint(endpoint string) bool {
	if endpoint == "" {
		return false
	}
	index, found := slices.BinarySearch(head.Endpoints, endpoint)
	if found {
		return false
	}
	head.Endpoints = slices.Insert(head.Endpoints, index, endpoint)
	return true
}

func (head *head) addEndpoints(endpoints []string) {
	for _, endpoint := range endpoints {
		head.addEndpoint(endpoint)
	}
}

func (head *head) removeEndpoint(endpoint string) {
	index, found := slices.BinarySearch(head.Endpoints, endpoint)
	if found {
		head.Endpoints = slices.Delete(head.Endpoints, index, index+1)
	}
}

// turnRow is the row of a persisted turn.
type turnRow struct {
	Request  string `json:"request"`
	Digest   string `json:"digest"`
	Messages []byte `json:"messages"`
	Message  []byte `json:"message"`
	Answer   []byte `json:"answer"`
}

type onceState int

const (
	onceInserted onceState = iota // inserted
	onceAnswered                  // answered
	onceNotRun                    // not run
	onceUnknown                   // may have run
)

// onceRow is the once record of an unrepeatable request.
type onceRow struct {
	State        onceState `json:"state"`
	Digest       string    `json:"digest"`
	Owner        string    `json:"owner"`
	Epoch        int64     `json:"epoch"`
	Turn         int       `json:"turn"`
	NotInHistory bool      `json:"unkept,omitempty"` // answered, but the owner had lost the program and could not add the turn to the history
	Messages     []byte    `json:"messages,omitempty"`
	Message      []byte    `json:"message,omitempty"`
	Answer       []byte    `json:"answer,omitempty"`
}

func encode(row any) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("ledger: row can't be encoded: %v", err)) // all rows are plain structs
	}
	return value
}

func decode[T any](row bvplatform.Row) (T, error) {
	var value T
	if row.Version == 0 {
		return value, nil
	}
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, fmt.Errorf("ledger: row %s: %w", row.Key, err)
	}
	return value, nil
}
