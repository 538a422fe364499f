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
	// tableTimeout outlasts an edit (10 s) and the wait for confirmations (3.5 s).
	tableTimeout = 20 * bvclock.Second
)

// tableCommand holds the flags that the commands for operators share.
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
share, priority and limits. Any host answers. An edit is accepted whole or not
at all; the command then waits until all live hosts have it in force, and names
those that haven't confirmed within 3.5 s.

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

// define adds the flags.
func (flags *tableCommand) addFlags(set *pflag.FlagSet) {
	set.StringVar(&flags.address, "operator-address", "",
		"IP:port of a host's operators' HTTP ["+operatorEnvironment+"] (default "+defaultOperatorAddress+")")
	set.StringVar(&flags.keyFile, "key-file", "", "file that holds the key alone")
	set.StringVar(&flags.caFile, "ca", "", "certificates (PEM file) to trust; turns HTTPS on")
	set.BoolVar(&flags.asJSON, "json", false, "print JSON")
}

func newTableGet(flags *tableCommand) *cobra.Command {
	return &cobra.Command{
		Use:   "get [member[/class]]",
		Short: "Print the rows, or one of them",
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
		Long: `Change cells of a row, all or none. A class that has no row yet gets one. The
cells must still hold what the command read first; with --force they may hold
anything. Columns: priority, rate, concurrency, budget, turns, idle, models,
services. A share changes by "table propose" only.`,
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
	set.Flags().BoolVar(&force, "force", false, "overwrite, whatever the cells hold")
	return set
}

func newTableImport(flags *tableCommand) *cobra.Command {
	var remove bool
	command := &cobra.Command{
		Use:   "import file.csv",
		Short: "Change all cells in which a CSV differs from its export",
		Long: `Change all cells in which a CSV differs from its export, all or none. "-" reads
standard input. The version column tells what the CSV was exported from, so an
import reverts nothing that others changed meanwhile; a cell that both changed
is a conflict. The first table of all is imported by an admin, at version 0.`,
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
	command.Flags().BoolVar(&remove, "remove-missing", false, "remove own classes that the CSV lacks")
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
		Short: "Print who changed what, newest first",
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
	history.Flags().IntVar(&limit, "limit", 20, "number of versions to look at")
	return history
}

func newTablePropose(flags *tableCommand) *cobra.Command {
	return &cobra.Command{
		Use:   "propose member=share...",
		Short: "Propose shares; the other members must accept",
		Long: `Propose the shares of all members, in percent; they must add up to 100. A new
member joins with its share, one whose share is 0 leaves. The shares take effect
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
		Short:   "Print the proposals and whose consent they await",
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

// arguments makes a wrong number of arguments a mistake of use.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := check(command, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
