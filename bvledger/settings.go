package bvledger

import "balsamvalve.example/bvclock"

// Settings bound how long a Ledger waits and how much it holds. A field that
// is zero has its default.
type Settings struct {
	OrderTimeout    bvclock.Duration // a call waits for the turn before it
	PrepareTimeout  bvclock.Duration // a call waits for its load, claim or block
	CommitTimeout   bvclock.Duration // a finished answer waits for its commit
	OnceWindow      bvclock.Duration // in which an unrepeatable call may be sent
	SuspectAfter    bvclock.Duration // a commit under way this long means an outage
	AbortGrace      bvclock.Duration // an aborted call is waited for
	ReleaseInterval bvclock.Duration // between two Release effects of one program
	EvictAfter      bvclock.Duration // an unused program's history leaves memory
	RetryAfter      bvclock.Duration // told to callers that may come back
	MaxUncommitted  int              // finished turns of a program without commit
	MaxQueue        int              // calls of a program that wait
	BlockCalls      int64            // calls that one block of budget should cover
}

// The defaults.
const (
	DefaultOrderTimeout    = 10 * bvclock.Second
	DefaultPrepareTimeout  = 5 * bvclock.Second
	DefaultCommitTimeout   = 15 * bvclock.Second
	DefaultOnceWindow      = 5 * bvclock.Second
	DefaultSuspectAfter    = 5 * bvclock.Second
	DefaultAbortGrace      = 5 * bvclock.Second
	DefaultReleaseInterval = 10 * bvclock.Second
	DefaultEvictAfter      = bvclock.Minute
	DefaultRetryAfter      = bvclock.Second
	DefaultMaxUncommitted  = 4
	DefaultMaxQueue        = 64
	DefaultBlockCalls      = 8
)

func (settings Settings) withDefaults() Settings {
	settings.OrderTimeout = either(settings.OrderTimeout, DefaultOrderTimeout)
	settings.PrepareTimeout = either(settings.PrepareTimeout, DefaultPrepareTimeout)
	settings.CommitTimeout = either(settings.CommitTimeout, DefaultCommitTimeout)
	settings.OnceWindow = either(settings.OnceWindow, DefaultOnceWindow)
	settings.SuspectAfter = either(settings.SuspectAfter, DefaultSuspectAfter)
	settings.AbortGrace = either(settings.AbortGrace, DefaultAbortGrace)
	settings.ReleaseInterval = either(settings.ReleaseInterval, DefaultReleaseInterval)
	settings.EvictAfter = either(settings.EvictAfter, DefaultEvictAfter)
	settings.RetryAfter = either(settings.RetryAfter, DefaultRetryAfter)
	settings.MaxUncommitted = either(settings.MaxUncommitted, DefaultMaxUncommitted)
	settings.MaxQueue = either(settings.MaxQueue, DefaultMaxQueue)
	settings.BlockCalls = either(settings.BlockCalls, DefaultBlockCalls)
	return settings
}

func either[Number ~int | ~int64](value, otherwise Number) Number {
	if value == 0 {
		return otherwise
	}
	return value
}
