package bvtable

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

const (
	// confirmTimeout bounds the wait for confirmations, so that the operator gets the report
	// within MaxConfirmAge of the edit.
	confirmTimeout = 3500 * bvclock.Millisecond
	// confirmRetryInterval is the wait before another request to a host that didn't confirm.
	confirmRetryInterval = 200 * bvclock.Millisecond
)

// Confirmer sends changes to another host.
type Confirmer interface {
	// Confirm sends a host the changes that lead up to a version and returns the version that
	// the host then has in force.
	Confirm(ctx context.Context, host string, version int64, changes []Change) (int64, error)
}

// Report states on which hosts a version is in force.
type Report struct {
	Version     int64            `json:"version"`
	Changed     bool             `json:"changed"`               // false: the cells already held the new texts
	Hosts       int              `json:"hosts"`                 // live hosts on the platform's list
	Unconfirmed []string         `json:"unconfirmed,omitempty"` // hosts that didn't confirm in time
	Unlisted    bool             `json:"unlisted,omitempty"`    // the list of hosts couldn't be read
	Elapsed     bvclock.Duration `json:"elapsed_ms"`            // since the edit arrived
}

// String formats the report as one line for an operator.
func (report Report) String() string {
	if report.Unlisted {
		return fmt.Sprintf("version %d accepted; the list of hosts can't be read, so nothing is known of them", report.Version)
	}
	if len(report.Unconfirmed) == 0 {
		return fmt.Sprintf("version %d in force on all %d hosts after %d ms", report.Version, report.Hosts, int64(report.Elapsed))
	}
	return fmt.Sprintf("version %d in force on %d of %d hosts after %d ms; not confirmed by %s",
		report.Version, report.Hosts-len(report.Unconfirmed), report.Hosts, int64(report.Elapsed),
		strings.Join(report.Unconfirmed, ", "))
}

// pushChange sends an accepted change to all live hosts and waits, at most confirmTimeout,
// until each has it in force. The change stays accepted whatever the hosts answer; a host
// that the push doesn't reach gets the change with its next poll.
func (editor *Editor) pushChange(ctx context.Context, started bvclock.Time, change Change) Report {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout.Std())
	defer cancel()
	report := Report{Version: change.Version, Changed: change.Attempt != ""}
	// For an edit that changed nothing, no change is sent: a host that lags would apply an
	// empty change as that version and miss the version's cells.
	var changes []Change
	if report.Changed {
		changes = []Change{change}
	}
	hosts, err := editor.liveHosts(ctx)
	report.Unlisted = err != nil
	report.Hosts = len(hosts)
	answers := make(chan string, len(hosts))
	for _, host := range hosts {
		go func() { answers <- editor.confirmHost(ctx, host, change.Version, changes) }()
	}
	for range hosts {
		if unconfirmed := <-answers; unconfirmed != "" {
			report.Unconfirmed = append(report.Unconfirmed, unconfirmed)
		}
	}
	slices.Sort(report.Unconfirmed)
	report.Elapsed = editor.Follower.Clock.Now().Sub(started)
	return report
}

func (editor *Editor) liveHosts(ctx context.Context) ([]string, error) {
	if editor.Hosts == nil {
		return nil, nil
	}
	hosts, err := editor.Hosts.Hosts(ctx)
	if err != nil {
		return nil, fmt.Errorf("table: list hosts: %w", err)
	}
	var names []string
	for _, host := range hosts {
		if host.State == bvplatform.HostLive {
			names = append(names, host.Name)
		}
	}
	return names, nil
}

// confirmHost requests confirmation until the host confirms or the context ends. It returns
// the host's name if the host didn't confirm, else an empty string.
func (editor *Editor) confirmHost(ctx context.Context, host string, version int64, changes []Change) string {
	for {
		if editor.requestConfirmation(ctx, host, version, changes) {
			return ""
		}
		select {
		case <-ctx.Done():
			return host
		case <-time.After(confirmRetryInterval.Std()):
		}
	}
}

func (editor *Editor) requestConfirmation(ctx context.Context, host string, version int64, changes []Change) bool {
	if host == editor.Host {
		inForce, _ := editor.Follower.VersionInForce()
		return inForce >= version
	}
	if editor.Confirmer == nil {
		return false
	}
	inForce, err := editor.Confirmer.Confirm(ctx, host, version, changes)
	return err == nil && inForce >= version
}
