package bvshare

import (
	"math"

	"balsamvalve.example/bvclock"
)

// account holds a workspace's work at this host, with exponential decay.
type account struct {
	workspace uint32
	asked     float64
	used      float64
	updatedAt bvclock.Time
}

// at returns the account with the work decayed until a time.
func (account account) at(now bvclock.Time) account {
	elapsed := max(now.Sub(account.updatedAt), 0)
	factor := math.Exp(-float64(elapsed) / float64(Window))
	account.asked *= factor
	account.used *= factor
	account.updatedAt = now
	return account
}

// usage returns the account's work as rates.
func (account account) usage() Usage {
	return Usage{Workspace: account.workspace, Asked: account.asked / float64(Window), Used: account.used / float64(Window)}
}
