package bvcommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"balsamvalve.example/platform/bvemulator"
)

// siteFlags are the flags of the emulated platform.
type siteFlags struct {
	keysFile string
	config   bvemulator.SiteConfig
	rate     float64
	burst    float64
}

func newStandinSite() *cobra.Command {
	var flags siteFlags
	command := &cobra.Command{
		Use:   "site",
		Short: "Emulate the users' platform for routing hosts: store, engines, services, workspaces",
		Long: `Emulate the users' platform for routing hosts on loopback until SIGTERM or SIGINT.
The first line of output is the address of the store, for the settings files of
"balsamvalve route". Each caller key of the keys file becomes a workspace, all with the
same usage cap; without keys, requests need no key.`,
		Example: `  balsamvalve standin site --engines 3 --services 2 --keys-file keys --rate 50 --burst 50`,
		Args:    noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return flags.run(command)
		},
	}
	set := command.Flags()
	set.StringVar(&flags.keysFile, "keys-file", "", "callers' keys; or set "+keysVariable)
	set.IntVar(&flags.config.Engines, "engines", 3, "engines")
	set.IntVar(&flags.config.Apps, "services", 2, "number of instances of a plain service")
	set.IntVar(&flags.config.Versions, "versions", 1, "software versions of the engines, which have them in turn")
	set.Float64Var(&flags.rate, "rate", 0, "usage cap of each workspace in requests per second; 0: none")
	set.Float64Var(&flags.burst, "burst", 0, "burst of requests above the rate")
	return command
}

func (flags *siteFlags) run(command *cobra.Command) error {
	if flags.config.Engines < 0 || flags.config.Apps < 0 || flags.config.Versions < 0 || flags.rate < 0 || flags.burst < 0 {
		return usageError{errors.New("standin: --engines, --services, --versions, --rate and --burst must not be negative")}
	}
	keys, err := callerKeys(flags.keysFile)
	if err != nil {
		return err
	}
	flags.config.Workspaces = workspacesOf(keys, 0)
	for i := range flags.config.Workspaces {
		flags.config.Workspaces[i].Rate, flags.config.Workspaces[i].Burst = flags.rate, flags.burst
	}
	site, err := bvemulator.StartSite(flags.config)
	if err != nil {
		return err
	}
	defer site.Stop()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if _, err := fmt.Fprintf(command.OutOrStdout(), "listening %s\n", site.Address()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
