package bvcommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvload"
)

// errPromiseBroken is returned when a run has broken a promise to callers.
var errPromiseBroken = errors.New("load: a promise was broken")

// loadFlags are the flags of the load command that are not fields of its config.
type loadFlags struct {
	keysFile string
	deadline time.Duration
	jsonFile string
	plotFile string
}

func newLoad() *cobra.Command {
	var flags loadFlags
	var config bvload.Config
	command := &cobra.Command{
		Use:   "load",
		Short: "Send agent programs to running daemons and check the promises to callers",
		Example: `  balsamvalve load --address 127.0.0.1:8080,127.0.0.1:8081 \
    --keys-file keys --programs 200 --concurrency 20`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			keys, err := callerKeys(flags.keysFile)
			if err != nil {
				return err
			}
			config.Members = bvload.Members(keys)
			config.Deadline = bvclock.FromStd(flags.deadline)
			config.Progress = func(progress bvload.Progress) { showProgress(command.ErrOrStderr(), progress) }
			return flags.run(command, config)
		},
	}
	flags.addFlags(command)
	addLoadConfig(command, &config)
	command.AddCommand(newLoadWorkspaces())
	return command
}

// keysVariable names the environment variable with the keys. Keys are never
// arguments, since every user of the machine can read those.
const keysVariable = "BALSAMVALVE_KEYS"

// callerKeys returns a caller key of each member or workspace, from a file or the
// environment.
func callerKeys(path string) (map[string]string, error) {
	if path == "" {
		return bvkey.CallerKeys(strings.NewReader(os.Getenv(keysVariable)))
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, usageError{fmt.Errorf("keys: %w", err)}
	}
	defer func() { _ = file.Close() }()
	return bvkey.CallerKeys(file)
}

func (flags *loadFlags) addFlags(command *cobra.Command) {
	set := command.Flags()
	set.StringVar(&flags.keysFile, "keys-file", "", "the daemons' keys file; or set "+keysVariable)
	set.DurationVar(&flags.deadline, "deadline", 0, "deadline of each request, including its retries; 0: default")
	set.StringVar(&flags.jsonFile, "json", "", "write the report as JSON to this file")
	set.StringVar(&flags.plotFile, "plot", "", "write a plot of the latencies to this .svg or .png file")
}

func addLoadConfig(command *cobra.Command, config *bvload.Config) {
	set := command.Flags()
	set.StringSliceVar(&config.Addresses, "address", nil, "IP and port of the caller API of each daemon")
	set.IntVar(&config.Programs, "programs", 0, "total number of programs; 0: default")
	set.IntVar(&config.Concurrency, "concurrency", 0, "closed loop: number of concurrent programs; 0: default")
	set.Float64Var(&config.Rate, "rate", 0, "open loop: new programs per second; 0: closed loop")
	set.Uint64Var(&config.Seed, "seed", 1, "seed of the random numbers")
	set.IntVar(&config.MaxAttempts, "tries", 0, "maximum number of attempts of each request; 0: default")
	set.Float64Var(&config.PauseFactor, "pauses", 0, "factor on all pauses; 0: factor 1, negative: no pauses")
	set.StringSliceVar(&config.ServiceAddresses, "service", nil, "addresses of stand-in services, queried for the number of runs of each request")
	set.StringSliceVar(&config.EngineAddresses, "engine", nil, "addresses of stand-in engines, queried at the end for cached prefixes of ended programs")
}

func (flags *loadFlags) run(command *cobra.Command, config bvload.Config) error {
	if len(config.Addresses) == 0 || len(config.Members) == 0 {
		return usageError{errors.New("load: --address and callers' keys are needed; members are piran and brindley")}
	}
	ctx, cancel := signal.NotifyContext(command.Context(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	report, err := bvload.Run(ctx, config)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(command.OutOrStdout(), report.Text()); err != nil {
		return err
	}
	if err := flags.write(report); err != nil {
		return err
	}
	if !report.AllPromisesHold() {
		return errPromiseBroken
	}
	return nil
}

func (flags *loadFlags) write(report bvload.Report) error {
	if flags.jsonFile != "" {
		encoded, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return fmt.Errorf("load: %w", err)
		}
		if err := os.WriteFile(flags.jsonFile, append(encoded, '\n'), 0o644); err != nil {
			return fmt.Errorf("load: %w", err)
		}
	}
	if flags.plotFile != "" {
		return report.Plot(flags.plotFile)
	}
	return nil
}

func showProgress(output io.Writer, progress bvload.Progress) {
	_, _ = fmt.Fprintf(output, "programs %d of %d finished, %d failed, %d requests\n",
		progress.Finished, progress.Programs, progress.Failed, progress.Requests)
}
