package bvcommand

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvsetting"
)

func newCheck() *cobra.Command {
	check := &cobra.Command{
		Use:   "check",
		Short: "Validate the daemon's settings",
		Long: `Validate the daemon's settings, as "serve" would read them from the same flags
and environment. Prints each invalid setting with the reason; the exit code is
then 2.`,
		Example: `  balsamvalve check --peer-address 10.0.0.7:8081 --keys-file keys
  BALSAMVALVE_POLL_INTERVAL=500ms balsamvalve check`,
		Args: noArguments,
		RunE: runCheck,
	}
	addSettings(check)
	return check
}

func runCheck(command *cobra.Command, _ []string) error {
	serve, err := bvsetting.Load(command.Flags(), os.LookupEnv)
	if err != nil {
		return usageError{err}
	}
	for _, warning := range serve.Warnings() {
		_, _ = fmt.Fprintf(command.ErrOrStderr(), "warning: %s\n", warning)
	}
	_, err = fmt.Fprintf(command.OutOrStdout(), "settings are valid (%d keys)\n", serve.Ring().Len())
	return err
}

// noArguments makes arguments a usage error.
func noArguments(command *cobra.Command, args []string) error {
	if err := cobra.NoArgs(command, args); err != nil {
		return usageError{err}
	}
	return nil
}
