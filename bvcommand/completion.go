package bvcommand

import (
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvtable"
)

// addSettings adds the daemon's settings as flags, with shell completion of their
// values.
func addSettings(command *cobra.Command) {
	bvsetting.AddFlags(command.Flags())
	command.Flags().VisitAll(func(flag *pflag.Flag) {
		choices := bvsetting.Choices(flag.Name)
		if len(choices) == 0 {
			return
		}
		_ = command.RegisterFlagCompletionFunc(flag.Name, cobra.FixedCompletions(choices, cobra.ShellCompDirectiveNoFileComp))
	})
}

// completeCells completes the names of columns after the name of a row.
func completeCells(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) == 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var cells []string
	for _, column := range bvtable.Columns() {
		if column != bvtable.Share && !hasColumn(args[1:], column) {
			cells = append(cells, column.String()+"=")
		}
	}
	return cells, cobra.ShellCompDirectiveNoFileComp | cobra.ShellCompDirectiveNoSpace
}

func hasColumn(args []string, column bvtable.Column) bool {
	for _, arg := range args {
		if strings.HasPrefix(arg, column.String()+"=") {
			return true
		}
	}
	return false
}
