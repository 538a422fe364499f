package bvgate

import (
	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvverdict"
)

const (
	// maxRetryAfter bounds the retry time given to new programs.
	maxRetryAfter = 5 * bvclock.Minute
	// retryGrace is how late a program may retry and still use its reservation.
	retryGrace = 10 * bvclock.Second
	// maxReservations bounds the reservations of a member.
	maxReservations = 4096
)

// retryQueue orders the retries of a member's rejected new programs.
//
// Without it the retry time is a guess: all rejected programs retry at once for the
// capacity of one, new programs take that capacity first, and some callers stop
// retrying after many attempts.
type retryQueue struct {
	due          map[string]bvclock.Time // by program
	reservations []reservation           // in order of creation
	admitted     rateMeter               // new programs per millisecond
}

type reservation struct {
	program string
	due     bvclock.Time
}

// rejectNewProgram returns why a new program must retry later, or nil.
func (pool *Pool) rejectNewProgram(now bvclock.Time, submitted *request) *bvverdict.Error {
	retryQueue := &submitted.member.retryQueue
	retryQueue.expire(now)
	due, reserved := retryQueue.due[submitted.Program]
	backlog, limit := pool.backlogTime(now, submitted.member), pool.limits.maxBacklog()
	if backlog <= limit && (reserved && !due.After(now) || len(retryQueue.due) == 0 || backlog <= limit/2) {
		delete(retryQueue.due, submitted.Program)
		return nil
	}
	wait := retryQueue.schedule(now, submitted.Program, backlog-limit)
	return errOverloaded(wait, "backlog of member %s is %s", submitted.Member, backlog)
}

// schedule returns the time after which a program is to retry: after those rejected
// before it, at the rate at which new programs are admitted, and not before the excess
// backlog is worked off. A program that retries too early keeps its reservation.
func (retryQueue *retryQueue) schedule(now bvclock.Time, program string, excess bvclock.Duration) bvclock.Duration {
	wait := max(excess, minRetryAfter)
	if due, ok := retryQueue.due[program]; ok {
		wait = max(wait, due.Sub(now))
	} else if rate, ok := retryQueue.admitted.rate(now); ok {
		wait = max(wait, bvclock.Duration(float64(len(retryQueue.due)+1)/float64(rate)))
	}
	wait = min(wait, maxRetryAfter)
	if program != "" && len(retryQueue.reservations) < maxReservations {
		retryQueue.reserve(reservation{program: program, due: now.Add(wait)})
	}
	return wait
}

func (retryQueue *retryQueue) reserve(added reservation) {
	if retryQueue.due == nil {
		retryQueue.due = make(map[string]bvclock.Time)
	}
	retryQueue.due[added.program] = added.due
	retryQueue.reservations = append(retryQueue.reservations, added)
}

// expire deletes the reservations of programs that did not retry in time.
func (retryQueue *retryQueue) expire(now bvclock.Time) {
	for len(retryQueue.reservations) > 0 && now.After(retryQueue.reservations[0].due.Add(retryGrace)) {
		if retryQueue.due[retryQueue.reservations[0].program] == retryQueue.reservations[0].due {
			delete(retryQueue.due, retryQueue.reservations[0].program)
		}
		retryQueue.reservations = retryQueue.reservations[1:]
	}
}
