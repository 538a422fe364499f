package bvcommand

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"balsamvalve.example/bvdaemon"
	"balsamvalve.example/bvsetting"
)

func newServe() *cobra.Command {
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run one host's daemon",
		Long: `Run one host's daemon until SIGTERM or SIGINT, then stop gracefully: no
request in flight is cut off. A second signal ends the process at once.`,
		Example: `  balsamvalve serve --platform-address 127.0.0.1:8090 --keys-file keys.txt
  BALSAMVALVE_ZONE=koper balsamvalve serve --keys-file keys.txt`,
		Args: noArguments,
		RunE: runServe,
	}
	addSettings(command)
	return command
}

func runServe(command *cobra.Command, _ []string) error {
	settings, err := bvsetting.Load(command.Flags(), os.LookupEnv)
	if err != nil {
		return usageError{err}
	}
	daemon, err := bvdaemon.New(settings, newLog(settings, command.ErrOrStderr()))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.OutOrStdout(), "listening callers=%s operators=%s peers=%s\n",
		daemon.CallerAddress(), daemon.OperatorAddress(), daemon.PeerAddress())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-ctx.Done()
		stop() // restores the default effect of a second signal
	}()
	return daemon.Run(ctx)
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
