// Package bvcommand implements the command line: one file per command, each of
// which reads its settings and calls the package that does the work.
//
// # Usage
//
//	os.Exit(bvcommand.Execute(os.Args[1:], os.Stdout, os.Stderr))
package bvcommand

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2

	exitInterrupted = 130 // as shells report a process that SIGINT ended
)

// usageError marks an error that the user can correct with other flags.
type usageError struct{ cause error }

func (err usageError) Error() string { return err.cause.Error() }
func (err usageError) Unwrap() error { return err.cause }

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitSuccess
	}
	_, _ = fmt.Fprintf(stderr, "balsamvalve: %v\n", err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "balsamvalve",
		Short: "A scheduler for agent programs",
		Example: `  balsamvalve demo
  balsamvalve serve --help
  source <(balsamvalve completion bash)`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newServe())
	root.AddCommand(newExplain())
	root.AddCommand(newRoute())
	root.AddCommand(newDemo())
	root.AddCommand(newCheck())
	root.AddCommand(newSettings())
	root.AddCommand(newLoad())
	root.AddCommand(newStandin())
	root.AddCommand(newTable())
	root.AddCommand(newStatus())
	root.AddCommand(newExperiment())
	root.AddCommand(newFleet())
	return root
}
