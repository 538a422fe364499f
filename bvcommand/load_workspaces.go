package bvcommand

import (
	"errors"
	"io"
	"maps"
	"math"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"balsamvalve.example/platform/bvemulator"
)

func newLoadWorkspaces() *cobra.Command {
	var load bvemulator.Load
	var keysFile string
	var skew float64
	command := &cobra.Command{
		Use:   "workspaces",
		Short: "Send programs of workspaces through routing hosts and check the answers",
		Long: `Send programs of workspaces through running routing hosts whose endpoints are emulated
("balsamvalve standin site"), with the key of each workspace and occasionally an unknown
key, and check that each caller gets its own answers.`,
		Example: `  balsamvalve load workspaces --address 127.0.0.1:8080,127.0.0.1:8081 \
    --keys-file keys --programs 200 --concurrency 20 --skew 1`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			keys, err := callerKeys(keysFile)
			if err != nil {
				return err
			}
			load.Workspaces = workspacesOf(keys, skew)
			return sendWorkspaces(command, load)
		},
	}
	set := command.Flags()
	set.StringVar(&keysFile, "keys-file", "", "callers' keys; or set "+keysVariable)
	set.StringSliceVar(&load.Addresses, "address", nil, "IP and port of the caller API of each host")
	set.IntVar(&load.Programs, "programs", 0, "total number of programs; 0: default")
	set.IntVar(&load.Concurrency, "concurrency", 0, "number of concurrent programs; 0: default")
	set.IntVar(&load.PoisonEvery, "poison-every", 0, "send a request that crashes emulated endpoints after this many programs; 0: never")
	set.IntVar(&load.CutEvery, "cut-every", 0, "cut a stream and resume it through any host after this many programs; 0: never")
	set.Uint64Var(&load.Seed, "seed", 1, "seed of the random numbers")
	set.Float64Var(&skew, "skew", 0, "skew of the load: shares of workspaces decrease with this power of their rank; 0: equal")
	return command
}

func sendWorkspaces(command *cobra.Command, load bvemulator.Load) error {
	if len(load.Addresses) == 0 {
		return usageError{errors.New("load: --address is needed")}
	}
	ctx, cancel := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	report := load.Send(ctx)
	if _, err := io.WriteString(command.OutOrStdout(), report.Text()); err != nil {
		return err
	}
	if !report.AllPromisesHold() {
		return errPromiseBroken
	}
	return nil
}

// workspacesOf returns a workspace for each key, sorted by name. With a skew above 0,
// later workspaces send less: the share decreases with that power of the rank.
func workspacesOf(keys map[string]string, skew float64) []bvemulator.Workspace {
	workspaces := make([]bvemulator.Workspace, 0, len(keys))
	for rank, name := range slices.Sorted(maps.Keys(keys)) {
		workspaces = append(workspaces, bvemulator.Workspace{
			Name: name, Keys: []string{keys[name]}, Share: shareOf(rank, skew),
		})
	}
	return workspaces
}

// shareOf returns the share of the workspace with the given rank, from 0.
func shareOf(rank int, skew float64) float64 {
	return math.Pow(float64(rank+1), -skew)
}
