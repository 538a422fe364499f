package bvcommand

import (
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"balsamvalve.example/bvdaemon"
	"balsamvalve.example/bvlog"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvsignal"
)

func newServe() *cobra.Command {
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run one host's daemon",
		Long: `Run one host's daemon until SIGTERM or SIGINT, then stop gracefully: no
request in flight is cut off. A second SIGINT ends the process at once; a repeated
SIGTERM does not. SIGHUP changes nothing: the settings are read at the start only.`,
		Example: `  balsamvalve serve --platform-address 127.0.0.1:8090 --keys-file keys.txt
  BALSAMVALVE_ZONE=koper balsamvalve serve --keys-file keys.txt`,
		Args: noArguments,
		RunE: runServe,
	}
	addSettings(command)
	return command
}

func runServe(command *cobra.Command, _ []string) error {
	signals := bvsignal.Register()
	signals.ExitOnSecondInterrupt(func() { os.Exit(exitInterrupted) })
	settings, err := bvsetting.Load(command.Flags(), os.LookupEnv)
	if err != nil {
		return usageError{err}
	}
	log := newLog(settings, command.ErrOrStderr())
	bvlog.CaptureStandard(log)
	daemon, err := bvdaemon.New(settings, log)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.OutOrStdout(), "listening callers=%s operators=%s peers=%s\n",
		daemon.CallerAddress(), daemon.OperatorAddress(), daemon.PeerAddress())
	if err != nil {
		return err
	}
	go logHangups(signals.Hangups(), log)
	return daemon.Run(signals.Deliver(command.Context(), log))
}

// logHangups logs that SIGHUP changes nothing, until the process exits.
func logHangups(hangups <-chan os.Signal, log logrus.FieldLogger) {
	for range hangups {
		log.Warn("SIGHUP: the settings are read at the start only")
	}
}

func newLog(settings bvsetting.Serve, output io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(output)
	log.SetLevel(settings.LogLevel())
	if settings.LogFormat() == bvsetting.JSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
