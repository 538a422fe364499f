// Command standin plays the cases of the review: it starts the daemons of a small deployment as separate
// processes on loopback addresses, with stand-ins of the platform's store, of engines and of clients.
//
// # Usage
//
//	standin CASE --root REPOSITORY --folder CASE_FOLDER
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// in the environment the disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// play is what a case needs.
type play struct {
	root    string // of the repository
	scratch string // temporary folder
	trouble bool
	record  *record
}

var cases = map[string]func(play) (broken bool, err error){
	"twice":  playTwice,
	"lost":   playLost,
	"caps":   playCaps,
	"budget": playBudget,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE --root REPOSITORY --folder CASE_FOLDER")
		return statusNotRun
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	root := flags.String("root", ".", "repository")
	folder := flags.String("folder", ".", "folder of the case")
	_ = flags.Parse(os.Args[2:]) // exits on an error
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	scratch, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	record, err := newRecord(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer record.close()
	stopOnSignal()
	broken, err := cases[os.Args[1]](play{absolute, scratch, os.Getenv("TROUBLE") != "0", record})
	switch {
	case err != nil:
		record.print("the case could not run: %v", err)
		return statusNotRun
	case broken:
		record.print("the rule was broken")
		return statusBroken
	}
	record.print("the rule held")
	return statusHeld
}

// stopOnSignal ends the daemons when the case itself is ended before its time.
func stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		for _, fleet := range startedFleets {
			fleet.stopAll()
		}
		os.Exit(statusNotRun)
	}()
}
