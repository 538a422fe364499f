package bvcommand

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvtable"
)

const (
	keyEnvironment         = "BALSAMVALVE_KEY"
	operatorEnvironment    = "BALSAMVALVE_OPERATOR_ADDRESS"
	defaultOperatorAddress = "127.0.0.1:8082"
	// tableTimeout exceeds the limits of an edit (10 s) and of the wait for
	// confirmations (3.5 s).
	tableTimeout = 20 * bvclock.Second
)

// tableCommand holds the common flags of the commands for operators.
type tableCommand struct {
	address string
	keyFile string
	caFile  string
	asJSON  bool
}

func newTable() *cobra.Command {
	flags := &tableCommand{}
	table := &cobra.Command{
		Use:   "table",
		Short: "Read and edit the operators' table",
		Long: `Read and edit the operators' table: a row per member or class of programs, with
share, priority and limits. Any host can be queried. An edit is applied
completely or not at all; the command then waits until all live hosts have it in
force, and names those that haven't confirmed within 3.5 s.

The key comes from BALSAMVALVE_KEY or from the file of --key-file, never from an
argument. Operators see and edit their own member's rows, and see the others'
shares.`,
		Example: `  export BALSAMVALVE_KEY=$(cat key)
  balsamvalve table get
  balsamvalve table set piran/booking priority=5 budget=2000
  balsamvalve table export > table.csv`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	flags.addFlags(table.PersistentFlags())
	table.AddCommand(newTableGet(flags), newTableSet(flags), newTableImport(flags), newTableExport(flags),
		newTableHistory(flags), newTablePropose(flags), newTableAccept(flags), newTableProposals(flags))
	return table
}

// addFlags adds the flags to a set.
func (flags *tableCommand) addFlags(set *pflag.FlagSet) {
	set.StringVar(&flags.address, "operator-address", "",
		"IP and port of the operator API of a host ["+operatorEnvironment+"] (default "+defaultOperatorAddress+")")
	set.StringVar(&flags.keyFile, "key-file", "", "file that contains only the key")
	set.StringVar(&flags.caFile, "ca", "", "PEM file of trusted certificates; enables HTTPS")
	set.BoolVar(&flags.asJSON, "json", false, "print JSON")
}

func newTableGet(flags *tableCommand) *cobra.Command {
	return &cobra.Command{
		Use:   "get [member[/class]]",
		Short: "Print all rows, or one row",
		Example: `  balsamvalve table get
  balsamvalve table get piran/booking --json`,
		Args: usageArgs(cobra.MaximumNArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			view, err := client.Get(command.Context())
			if err != nil {
				return err
			}
			if len(args) == 1 {
				if view.Rows, err = selectRow(view.Rows, bvtable.ParseRowName(args[0])); err != nil {
					return err
				}
			}
			if flags.asJSON {
				return printJSON(command, view)
			}
			return printView(command, view)
		},
	}
}

func newTableSet(flags *tableCommand) *cobra.Command {
	var remove, force bool
	set := &cobra.Command{
		Use:   "set member[/class] column=value...",
		Short: "Change cells of a row, all or none",
		Long: `Change cells of a row, all or none. A row is added for a class that has none.
The change fails if a cell has changed since the command read it; --force
overwrites it in any case. Columns: priority, rate, concurrency, budget, turns,
idle, models, services. A share changes by "table propose" only.`,
		Example: `  balsamvalve table set piran budget=5000 idle=15m
  balsamvalve table set brindley/quote priority=9 "models=small large"
  balsamvalve table set brindley/trial --remove`,
		Args:              usageArgs(cobra.MinimumNArgs(1)),
		ValidArgsFunction: completeCells,
		RunE: func(command *cobra.Command, args []string) error {
			cells, err := parseCells(bvtable.ParseRowName(args[0]), args[1:], remove)
			if err != nil {
				return usageError{err}
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			if !force {
				if err := setExpected(command, client, cells); err != nil {
					return err
				}
			}
			outcome, err := client.Set(command.Context(), cells)
			return flags.printOutcome(command, outcome, err)
		},
	}
	set.Flags().BoolVar(&remove, "remove", false, "remove the row of a class")
	set.Flags().BoolVar(&force, "force", false, "overwrite cells that were changed meanwhile")
	return set
}

func newTableImport(flags *tableCommand) *cobra.Command {
	var remove bool
	command := &cobra.Command{
		Use:   "import file.csv",
		Short: "Change all cells in which a CSV differs from its export",
		Long: `Change all cells in which a CSV differs from its export, all or none. "-" reads
standard input. The version column states the version of the exported table, so
that an import does not revert changes that others have made since; a cell that
both have changed is a conflict. The very first table is imported by an admin, at
version 0.`,
		Example: `  balsamvalve table export > table.csv
  balsamvalve table import table.csv`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			content, err := readInput(command, args[0])
			if err != nil {
				return usageError{err}
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			outcome, err := client.Import(command.Context(), content, remove)
			return flags.printOutcome(command, outcome, err)
		},
	}
	command.Flags().BoolVar(&remove, "remove-missing", false, "remove own classes that are missing from the CSV")
	return command
}

func newTableExport(flags *tableCommand) *cobra.Command {
	return &cobra.Command{
		Use:     "export",
		Short:   "Print the rows as CSV for a spreadsheet",
		Example: `  balsamvalve table export > table.csv`,
		Args:    noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			content, err := client.Export(command.Context())
			if err != nil {
				return err
			}
			_, err = command.OutOrStdout().Write(content)
			return err
		},
	}
}

func newTableHistory(flags *tableCommand) *cobra.Command {
	var below int64
	var limit int
	history := &cobra.Command{
		Use:   "history",
		Short: "Print the changes and their authors, newest first",
		Example: `  balsamvalve table history --limit 10
  balsamvalve table history --below 1200`,
		Args: noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			changes, err := client.History(command.Context(), below, limit)
			if err != nil {
				return err
			}
			if flags.asJSON {
				return printJSON(command, changes)
			}
			printHistory(command.OutOrStdout(), changes)
			return nil
		},
	}
	history.Flags().Int64Var(&below, "below", 0, "only versions below this one")
	history.Flags().IntVar(&limit, "limit", 20, "number of versions to read")
	return history
}

func newTablePropose(flags *tableCommand) *cobra.Command {
	return &cobra.Command{
		Use:   "propose member=share...",
		Short: "Propose shares; the other members must accept",
		Long: `Propose the shares of all members, in percent; they must add up to 100. A new
member joins with its share; a member whose share is 0 leaves. The shares take effect
when an operator of every other member concerned has accepted.`,
		Example: `  balsamvalve table propose piran=55 brindley=45
  balsamvalve table propose piran=40 brindley=40 izola=20`,
		Args: usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			shares, err := parseShares(args)
			if err != nil {
				return usageError{err}
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			outcome, err := client.Propose(command.Context(), shares)
			return flags.printOutcome(command, outcome, err)
		},
	}
}

func newTableAccept(flags *tableCommand) *cobra.Command {
	return &cobra.Command{
		Use:     "accept proposal",
		Short:   "Consent to a proposal for your member",
		Example: `  balsamvalve table accept p17`,
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			outcome, err := client.Accept(command.Context(), args[0])
			return flags.printOutcome(command, outcome, err)
		},
	}
}

func newTableProposals(flags *tableCommand) *cobra.Command {
	return &cobra.Command{
		Use:     "proposals",
		Short:   "Print the proposals and the members whose consent is missing",
		Example: `  balsamvalve table proposals`,
		Args:    noArguments,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			proposals, err := client.Proposals(command.Context())
			if err != nil {
				return err
			}
			if flags.asJSON {
				return printJSON(command, proposals)
			}
			for _, proposal := range proposals {
				printProposal(command.OutOrStdout(), proposal)
			}
			return nil
		},
	}
}

// usageArgs makes a wrong number of arguments a usage error.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
