package bvsuspect

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

const (
	// claimPrefix is the key prefix of claims in the platform's store.
	claimPrefix = suspectPart + "claim-"
	// claimTimeout bounds the wait for the store.
	claimTimeout = 300 * bvclock.Millisecond
	// claimLifetime is how long a claim holds if its host does not end it. It is longer than a
	// request runs.
	claimLifetime = 5 * bvclock.Minute
)

// ErrClaimed means that another host runs the request.
var ErrClaimed = errors.New("suspects: another host runs the request")

// Claim is the right to run a request exclusively. There is one for each number of crashes.
type Claim struct {
	hash    uint64 // of what has crashed the endpoints
	crashes int
	cause   Fingerprint
	at      int64 // time in ms
	// version is that of the row; 0: of any that was written up to the time of the claim.
	version int64
}

// key returns the key of the claim's row.
func (claim *Claim) key() string {
	return fmt.Sprintf("%s%s-%d", claimPrefix, FormatHash(claim.hash), claim.crashes)
}

// savedClaim is a row in the platform's store.
type savedClaim struct {
	Owner uint64 `json:"owner"` // differs for each claim
	At    int64  `json:"at_unix_ms"`
}

// Claim claims the right to run a request for which Decide returned an Exclusive decision. The crashes that
// this decision rests on are saved with it, so that they outlast all hosts.
func (suspects *Suspects) Claim(ctx context.Context, decision Decision) (*Claim, error) {
	if suspects.store == nil {
		return nil, bvplatform.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Std())
	defer cancel()
	claim := &Claim{hash: decision.key, crashes: decision.Crashes, cause: decision.Cause, at: suspects.unixMilli()}
	value, _ := json.Marshal(savedClaim{rand.Uint64(), claim.at}) // integers always encode
	err := suspects.commitClaim(ctx, claim, value)
	var conflict *bvplatform.ConflictError
	if errors.As(err, &conflict) {
		if claim.version, err = suspects.abandonedVersion(ctx, claim.key()); err == nil {
			err = suspects.commitClaim(ctx, claim, value)
		}
	}
	if errors.As(err, &conflict) {
		err = ErrClaimed
	}
	suspects.counters.Count("exclusive_runs", outcomeOf(err))
	if err != nil {
		return nil, err
	}
	suspects.log.WithFields(logrus.Fields{
		"content": FormatHash(claim.cause.Exact), "feature": claim.cause.Feature.String(), "crashes": claim.crashes,
	}).Info("suspect runs exclusively")
	return claim, nil
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "claimed"
	case errors.Is(err, ErrClaimed):
		return "claimed by another host"
	}
	return "store unavailable"
}

// commitClaim writes the claim over the row of its version, with the request's crashes.
func (suspects *Suspects) commitClaim(ctx context.Context, claim *Claim, value []byte) error {
	puts, crashes := suspects.rowsOf(claim.cause)
	transaction := bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: claim.key(), Version: claim.version}},
		Puts:   append(puts, bvplatform.Put{Key: claim.key(), Value: value}),
	}
	version, err := suspects.store.Commit(ctx, transaction)
	if errors.Is(err, bvplatform.ErrUnknown) {
		version, err = suspects.readBack(ctx, claim.key(), value)
	}
	if err != nil {
		return err
	}
	claim.version = version
	suspects.markSaved(crashes)
	return nil
}

// readBack finds out whether a write without an answer has taken effect.
func (suspects *Suspects) readBack(ctx context.Context, key string, value []byte) (version int64, err error) {
	rows, err := suspects.store.Read(ctx, key)
	if err != nil {
		return 0, err
	}
	if string(rows[0].Value) != string(value) {
		return 0, ErrClaimed
	}
	return rows[0].Version, nil
}

// abandonedVersion returns the version of a claim whose host has not ended it in time, or
// ErrClaimed.
func (suspects *Suspects) abandonedVersion(ctx context.Context, key string) (int64, error) {
	rows, err := suspects.store.Read(ctx, key)
	if err != nil {
		return 0, err
	}
	var saved savedClaim
	if rows[0].Version != 0 && (json.Unmarshal(rows[0].Value, &saved) != nil || suspects.ageOf(saved.At) < claimLifetime) {
		return 0, ErrClaimed
	}
	return rows[0].Version, nil
}

// rowsOf returns the rows of the crashes that count against a request and are not saved.
func (suspects *Suspects) rowsOf(request Fingerprint) ([]bvplatform.Put, []Report) {
	now := suspects.clock.Now()
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	crashes := suspects.table.UnsavedOf(now, request)
	crashes = crashes[:min(len(crashes), maxSavedRows)]
	return suspects.encodeRows(crashes), crashes
}

// EndClaim ends an exclusive run. A claim whose request has crashed one more endpoint stays: hosts
// that don't know of that crash yet can't run the request with it. It ends when an answer withdraws a crash,
// as the next run has the same number of crashes then.
func (suspects *Suspects) EndClaim(claim *Claim) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	remaining := suspects.table.Crashes(claim.cause)
	if remaining > claim.crashes {
		return
	}
	suspects.endedClaims = append(suspects.endedClaims, claim)
	if exclusive, _ := claim.cause.limits(); remaining >= exclusive && remaining < claim.crashes {
		suspects.endedClaims = append(suspects.endedClaims, &Claim{hash: claim.hash, crashes: remaining, cause: claim.cause, at: claim.at})
	}
}

// removeEndedClaims removes the claims of runs that crashed nothing from the store.
func (suspects *Suspects) removeEndedClaims(ctx context.Context) error {
	suspects.mutex.Lock()
	ended := suspects.endedClaims
	suspects.endedClaims = nil
	suspects.mutex.Unlock()
	for i, claim := range ended {
		err := suspects.removeClaim(ctx, claim)
		var conflict *bvplatform.ConflictError
		if err == nil || errors.As(err, &conflict) {
			continue // it is removed, or another host has it
		}
		suspects.mutex.Lock()
		suspects.endedClaims = append(suspects.endedClaims, ended[i:]...)
		suspects.mutex.Unlock()
		return fmt.Errorf("suspects: remove a claim: %w", err)
	}
	return nil
}

// removeClaim removes the row of a claim.
func (suspects *Suspects) removeClaim(ctx context.Context, claim *Claim) error {
	version := claim.version
	if version == 0 {
		rows, err := suspects.store.Read(ctx, claim.key())
		if err != nil {
			return err
		}
		var saved savedClaim
		if rows[0].Version == 0 || json.Unmarshal(rows[0].Value, &saved) != nil || saved.At > claim.at {
			return nil // there is none, or a later one
		}
		version = rows[0].Version
	}
	_, err := suspects.store.Commit(ctx, bvplatform.Transaction{
		Checks: []bvplatform.Check{{Key: claim.key(), Version: version}}, Puts: []bvplatform.Put{{Key: claim.key()}},
	})
	return err
}
