package bvledger

import "balsamvalve.example/bvclock"

// Settings bound how long a Ledger waits and how much it holds. Zero fields have their
// defaults.
type Settings struct {
	OrderTimeout    bvclock.Duration // how long a call waits for the turn before it
	PrepareTimeout  bvclock.Duration // how long a call waits for its load, claim or block
	CommitTimeout   bvclock.Duration // how long a finished call waits for its commit
	OnceWindow      bvclock.Duration // how long after its record was issued an unrepeatable call may be sent
	SuspectAfter    bvclock.Duration // a commit in flight for longer means an outage of the platform
	AbortGrace      bvclock.Duration // how long the end of a program waits for its aborted call
	ReleaseInterval bvclock.Duration // time between two Release effects of one program
	EvictAfter      bvclock.Duration // idle time after which a program's history is evicted from memory
	RetryAfter      bvclock.Duration // sent to callers that may retry
	MaxUncommitted  int              // finished, uncommitted turns of a program
	MaxQueue        int              // queued calls of a program
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
	settings.OrderTimeout = valueOr(settings.OrderTimeout, DefaultOrderTimeout)
	settings.PrepareTimeout = valueOr(settings.PrepareTimeout, DefaultPrepareTimeout)
	settings.CommitTimeout = valueOr(settings.CommitTimeout, DefaultCommitTimeout)
	settings.OnceWindow = valueOr(settings.OnceWindow, DefaultOnceWindow)
	settings.SuspectAfter = valueOr(settings.SuspectAfter, DefaultSuspectAfter)
	settings.AbortGrace = valueOr(settings.AbortGrace, DefaultAbortGrace)
	settings.ReleaseInterval = valueOr(settings.ReleaseInterval, DefaultReleaseInterval)
	settings.EvictAfter = valueOr(settings.EvictAfter, DefaultEvictAfter)
	settings.RetryAfter = valueOr(settings.RetryAfter, DefaultRetryAfter)
	settings.MaxUncommitted = valueOr(settings.MaxUncommitted, DefaultMaxUncommitted)
	settings.MaxQueue = valueOr(settings.MaxQueue, DefaultMaxQueue)
	settings.BlockCalls = valueOr(settings.BlockCalls, DefaultBlockCalls)
	return settings
}

func valueOr[Number ~int | ~int64](value, fallback Number) Number {
	if value == 0 {
		return fallback
	}
	return value
}
