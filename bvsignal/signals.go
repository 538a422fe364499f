// Package bvsignal handles a daemon's signals from its start to its exit.
//
// The default action of SIGHUP, SIGTERM, SIGINT and SIGPIPE ends a process and aborts its
// requests in flight. A daemon therefore registers for them before it does anything else,
// and never restores the default action:
//
//   - SIGTERM and SIGINT start a graceful stop. Further ones are logged and change nothing,
//     except for a second SIGINT if ExitOnSecondInterrupt was called.
//   - SIGHUP requests a reload of the settings, also during a graceful stop.
//   - SIGPIPE is ignored: otherwise a process would end with the reader of its log.
//
// # Usage
//
//	signals := bvsignal.Register()
//	settings := load() // signals that arrive meanwhile are delivered later
//	stopping := signals.Deliver(ctx, log)
//	go func() {
//		for range signals.Hangups() {
//			reload()
//		}
//	}()
//	err := run(stopping)
package bvsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// Signals are the signals of this process. Make one with Register.
type Signals struct {
	stops     chan os.Signal
	hangups   chan os.Signal
	interrupt func() // ends the process; nil: a second SIGINT changes nothing
}

// stopSignals is how many signals that stop the process may wait to be delivered: a SIGINT
// and a SIGTERM that arrive during the start.
const stopSignals = 2

// Register registers for the signals until the process exits.
func Register() *Signals {
	signals := &Signals{stops: make(chan os.Signal, stopSignals), hangups: make(chan os.Signal, 1)}
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(signals.hangups, syscall.SIGHUP)
	signal.Notify(signals.stops, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// ExitOnSecondInterrupt makes a second SIGINT, which a person at a terminal sends, call exit.
// It must be called before Deliver.
func (signals *Signals) ExitOnSecondInterrupt(exit func()) { signals.interrupt = exit }

// Hangups returns the channel of SIGHUPs. It holds one of those that arrive during a reload.
func (signals *Signals) Hangups() <-chan os.Signal { return signals.hangups }

// Deliver returns a context that is canceled by the first SIGTERM or SIGINT, and logs each
// of them until ctx ends.
func (signals *Signals) Deliver(ctx context.Context, log logrus.FieldLogger) (stopping context.Context) {
	stopping, stop := context.WithCancel(ctx)
	go func() {
		defer stop()
		interrupts := 0
		for {
			select {
			case received := <-signals.stops:
				log.WithField("signal", received.String()).WithField("repeated", stopping.Err() != nil).Info("signal to stop")
				stop()
				if received == syscall.SIGINT {
					interrupts++
				}
				if interrupts > 1 && signals.interrupt != nil {
					signals.interrupt()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return stopping
}
