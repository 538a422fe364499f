package bvcommand

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvrouter"
	"balsamvalve.example/platform"
)

func newRoute() *cobra.Command {
	return &cobra.Command{
		Use:   "route",
		Short: "Run one host's daemon on the users' platform",
		Long: `Run one host's daemon on the users' platform until SIGTERM or SIGINT, then stop
gracefully. The settings come from the file that ` + platform.SettingsVariable + ` names.`,
		Args: noArguments,
		RunE: runRoute,
	}
}

func runRoute(command *cobra.Command, _ []string) error {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return usageError{err}
	}
	output := bvlog.NewBounded(command.OutOrStdout(), bvclock.Boot())
	defer output.Close()
	log := bvlog.New(output)
	router, err := bvrouter.New(settings, bvrouter.Parts{
		Platform: &platform.Store{Address: settings.StoreAddress},
		Wire:     platform.Wire{},
		Ready:    platform.ReadyHandler,
	}, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return router.Run(ctx)
}
