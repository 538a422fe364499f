package bvcommand

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvrouter"
	"balsamvalve.example/bvsignal"
	"balsamvalve.example/platform"
)

func newRoute() *cobra.Command {
	var without string
	command := &cobra.Command{
		Use:   "route",
		Short: "Run one host's daemon on the users' platform",
		Long: `Run one host's daemon on the users' platform until SIGTERM or SIGINT, then stop
gracefully. The settings come from the file that ` + platform.SettingsVariable + ` names.

For experiments only, --without switches off mechanisms of the daemon's decision logic:
` + describeMechanisms(),
		Example: "  " + platform.SettingsVariable + "=/etc/balsamvalve/node.toml balsamvalve route",
		Args:    noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			return runRoute(command, without)
		},
	}
	command.Flags().StringVar(&without, "without", "", "mechanisms to switch off, separated by commas (experiments only)")
	return command
}

// describeMechanisms lists the mechanisms that --without accepts.
func describeMechanisms() string {
	var list strings.Builder
	for _, mechanism := range bvmechanism.All() {
		fmt.Fprintf(&list, "\n  %-14s %s", mechanism, mechanism.Purpose())
	}
	return list.String()
}

func runRoute(command *cobra.Command, without string) error {
	signals := bvsignal.Register()
	disabled, err := bvmechanism.Parse(without)
	if err != nil {
		return usageError{err}
	}
	file := settingsFile{path: os.Getenv(platform.SettingsVariable)}
	settings, err := file.loadSettled()
	if err != nil {
		return usageError{err}
	}
	settings.Disabled = disabled
	output := bvlog.NewBounded(command.OutOrStdout(), bvclock.Boot())
	defer output.Close()
	log := bvlog.New(output)
	bvlog.CaptureStandard(log)
	router, err := bvrouter.New(settings, bvrouter.Parts{
		Platform:     &platform.Store{Address: settings.StoreAddress},
		Wire:         platform.Wire{},
		ReadyHandler: platform.ReadyHandler,
	}, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(command.Context())
	defer cancel()
	go file.follow(ctx, signals.Hangups(), router, log)
	return router.Run(signals.Deliver(ctx, log))
}
