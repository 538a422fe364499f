package bvcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvmechanism"
	"balsamvalve.example/bvrouter"
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
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return usageError{err}
	}
	if settings.Disabled, err = bvmechanism.Parse(without); err != nil {
		return usageError{err}
	}
	output := bvlog.NewBounded(command.OutOrStdout(), bvclock.Boot())
	defer output.Close()
	log := bvlog.New(output)
	router, err := bvrouter.New(settings, bvrouter.Parts{
		Platform:     &platform.Store{Address: settings.StoreAddress},
		Wire:         platform.Wire{},
		ReadyHandler: platform.ReadyHandler,
	}, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go followSettings(ctx, path, router, log)
	return router.Run(ctx)
}

// settingsInterval is the interval at which the settings file is polled, since it
// may change without a signal.
const settingsInterval = 2 * bvclock.Second

// followSettings reloads the settings file when it changes or SIGHUP arrives. An
// invalid file is logged, and the settings in force stay.
func followSettings(ctx context.Context, path string, router *bvrouter.Router, log logrus.FieldLogger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	lastChange := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-bvclock.After(settingsInterval):
			if modTime(path).Equal(lastChange) {
				continue
			}
		}
		lastChange = modTime(path)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			log.WithError(err).Error("settings not taken over")
			continue
		}
		router.Reload(settings)
	}
}

// modTime returns the modification time of a file. It is zero if the file can't be
// examined; the error shows when the file is read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
