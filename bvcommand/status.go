package bvcommand

import "github.com/spf13/cobra"

func newStatus() *cobra.Command {
	flags := &tableCommand{}
	status := &cobra.Command{
		Use:   "status",
		Short: "Show hosts, endpoints and members against their shares",
		Long: `Show all hosts with the version of the table that each has in force, all
endpoints with their running calls, and the members with their shares. Any host
can be queried; hosts that don't answer it within a second are shown as
"no answer". Operators see the work, queue, calls, programs and refusals of their
own member, and only the shares of the others.

The key comes from BALSAMVALVE_KEY or from the file of --key-file, never from an
argument.`,
		Example: `  BALSAMVALVE_KEY=$(cat key) balsamvalve status
  balsamvalve status --key-file key --operator-address 10.0.0.7:8082 --json`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			status, err := client.Status(command.Context())
			if err != nil {
				return err
			}
			if flags.asJSON {
				return printJSON(command, status)
			}
			return status.Print(command.OutOrStdout())
		},
	}
	flags.addFlags(status.Flags())
	return status
}
