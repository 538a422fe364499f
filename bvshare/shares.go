// Package bvshare computes each workspace's max-min fair share of the work of model engines,
// over all hosts. It handles the contention that a few workspaces cause: while there is less
// capacity than demand, a workspace that gets more than its share should be rejected before
// the others are.
//
// Each host counts the work that it admitted and the demand that it received, by workspace,
// reports the largest counts to the other hosts, and adds up its own counts and their
// reports. No host allocates shares for others, so the loss of a host loses its own counts
// only. The package uses neither network nor clock.
//
// Work is in milliseconds of engine time. Rates of work are in milliseconds of engine time
// per millisecond, averaged with the time constant of Window.
//
// # Usage
//
//	var shares bvshare.Shares
//	shares.SetHosts(others, lag)
//	shares.RecordAsk(now, workspace, work)  // each request, also rejected ones
//	shares.RecordWork(now, workspace, work) // those that are admitted
//	shares.SetPeerUsage(now, host, usages)  // from each digest that has any
//	usages := shares.Report(now)            // for this host's digest
//	standing := shares.Standing(now, workspace, capacity)
//	if standing.Known && standing.Over {
//		return reject
//	}
package bvshare

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamvalve.example/bvclock"
)

const (
	// Window is the time constant of all counts. Within it, capacity that was lent is
	// returned to a workspace that has demand again.
	Window = 2 * bvclock.Second
	// maxWorkspaces is the number of workspaces whose counts are kept.
	maxWorkspaces = 512
	// maxReported is the number of workspaces that a report names.
	maxReported = 16
	// maxPeers is the number of other hosts whose reports are kept.
	maxPeers = 4096
	// maxRate bounds the rates that other hosts report, so that one wrong report can't make
	// sums infinite.
	maxRate = 1e6
	// maxWeight is the largest valid weight.
	maxWeight = 1e9
)

// Remainder is the key of the workspaces that a report does not name. Every report has an
// entry for them, so that an empty report differs from that of a host without shares.
const Remainder uint32 = 0

// HashWorkspace returns the key of a workspace. It is never Remainder.
func HashWorkspace(name string) uint32 { return max(uint32(xxhash.Sum64String(name)), 1) }

// Usage is the rate of work of a workspace at one host.
type Usage struct {
	Workspace uint32
	Asked     float64 // by requests, including rejected ones
	Used      float64 // by requests that were admitted
}

// demand returns the rate that the workspace would use if it could.
func (usage Usage) demand() float64 { return max(usage.Asked, usage.Used) }

// Standing compares a workspace's use with its share, over all hosts.
type Standing struct {
	Share float64 // rate that the workspace may use
	Use   float64
	Asked float64
	Age   bvclock.Duration // of the oldest report that counts
	// Over is true if the use is above the share, and Below if it is not. Both are false
	// while the uses of all workspaces are on the same side of their shares: then a
	// rejection would leave nothing to another workspace. They are false, too, unless Known.
	Over  bool
	Below bool
	// Known is false while too few hosts report, or the capacity is unknown.
	Known bool
}

// Shares counts the work of workspaces. The zero value has counted none, and its standings
// are unknown until SetHosts is called. It is not safe for concurrent use.
type Shares struct {
	own     map[uint32]account
	peers   map[uint64]report
	weights map[uint32]float64

	hostsKnown bool
	otherHosts int
	lag        bvclock.Duration

	totals totals
}

// SetHosts sets how many other hosts are known, and the longest interval between two reports
// of one of them.
func (shares *Shares) SetHosts(others int, lag bvclock.Duration) {
	shares.hostsKnown, shares.otherHosts, shares.lag = true, max(others, 0), lag
}

// SetWeights sets the weights of workspaces. Those that are missing, not positive or above
// maxWeight count as 1.
func (shares *Shares) SetWeights(weights map[uint32]float64) {
	shares.weights = make(map[uint32]float64)
	for workspace, weight := range weights {
		if len(shares.weights) < maxWorkspaces && weight > 0 && weight <= maxWeight {
			shares.weights[workspace] = weight
		}
	}
}

func (shares *Shares) weight(workspace uint32) float64 {
	if weight, found := shares.weights[workspace]; found {
		return weight
	}
	return 1
}

// RecordAsk records work that a workspace requested at this host.
func (shares *Shares) RecordAsk(now bvclock.Time, workspace uint32, work float64) {
	if isPositive(work) {
		account := shares.account(now, workspace)
		account.asked += work
		shares.own[workspace] = account
		shares.totals.add(Usage{Workspace: workspace, Asked: work / float64(Window)})
	}
}

// RecordWork records work that this host admitted. RecordAsk must record it too.
func (shares *Shares) RecordWork(now bvclock.Time, workspace uint32, work float64) {
	if isPositive(work) {
		account := shares.account(now, workspace)
		account.used += work
		shares.own[workspace] = account
		shares.totals.add(Usage{Workspace: workspace, Used: work / float64(Window)})
	}
}

// account returns a workspace's account. If it is new and there are too many, it replaces the
// one with the smallest demand.
func (shares *Shares) account(now bvclock.Time, workspace uint32) account {
	if found, counted := shares.own[workspace]; counted {
		return found.at(now)
	}
	if shares.own == nil {
		shares.own = make(map[uint32]account)
	}
	if len(shares.own) >= maxWorkspaces {
		shares.evictSmallest(now)
	}
	return account{workspace: workspace, updatedAt: now}
}

func (shares *Shares) evictSmallest(now bvclock.Time) {
	smallest, lowest := Remainder, math.Inf(1)
	for workspace, account := range shares.own {
		demand := account.at(now).usage().demand()
		if demand < lowest || demand == lowest && workspace < smallest {
			smallest, lowest = workspace, demand
		}
	}
	delete(shares.own, smallest)
}

// Used returns the rate of work of all workspaces over all hosts.
func (shares *Shares) Used(now bvclock.Time) float64 {
	shares.refresh(now)
	return shares.totals.used
}

// Standing returns a workspace's standing where the engines have a capacity, as a rate of
// work.
func (shares *Shares) Standing(now bvclock.Time, workspace uint32, capacity float64) Standing {
	shares.refresh(now)
	return shares.newDivision(capacity).standing(now, shares.totals.usage(workspace))
}

// Largest returns the standings of the workspaces with the largest demand, by workspace. The
// capacity is the rate of work that is admitted now.
func (shares *Shares) Largest(now bvclock.Time) map[uint32]Standing {
	shares.refresh(now)
	division := shares.newDivision(shares.totals.used)
	rows := slices.Clone(shares.totals.rows)
	slices.SortFunc(rows, largestFirst)
	standings := make(map[uint32]Standing)
	for _, row := range rows[:min(len(rows), maxReported)] {
		standings[row.Workspace] = division.standing(now, row)
	}
	return standings
}

// isInformed reports whether at least half of the other hosts report.
func (shares *Shares) isInformed() bool {
	return shares.hostsKnown && 2*shares.totals.reporting >= shares.otherHosts
}

func isPositive(value float64) bool { return value > 0 && !math.IsInf(value, 1) }
