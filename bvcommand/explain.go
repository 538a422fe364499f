package bvcommand

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvexplain"
)

func newExplain() *cobra.Command {
	var options bvexplain.Options
	command := &cobra.Command{
		Use:   "explain [FILE...]",
		Short: "Report from daemons' logs how requests and programs ended, and where their time went",
		Long: `Read the structured logs of routing daemons, or standard input, and print how
requests and programs ended and where their time went: by route, host, second and
cause, with the daemons' starts, stops and outages. Lines may have a log
collector's text before the JSON object: its last word is the name of the host,
and its first word, if it is a number, the time in seconds. Unreadable lines are
counted and skipped.`,
		Example: `  balsamvalve explain logs/*.log
  balsamvalve explain --from 1764730000 --to 1764730060 all.log
  balsamvalve explain --request bd3eff22eb8c4548 all.log`,
		RunE: func(command *cobra.Command, files []string) error {
			account := bvexplain.New(options)
			if err := readLogs(account, files, command.InOrStdin()); err != nil {
				return err
			}
			return account.Print(command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.Float64Var(&options.From, "from", 0, "count lines from this time on, in seconds")
	flags.Float64Var(&options.To, "to", 0, "count lines before this time, in seconds; 0: no end")
	flags.StringVar(&options.Request, "request", "", "show all lines of this request or program")
	flags.IntVar(&options.Programs, "programs", 0, "maximum number of programs in memory; 0: 140,000")
	return command
}

func readLogs(account *bvexplain.Account, files []string, input io.Reader) error {
	if len(files) == 0 {
		return account.Read(input)
	}
	for _, name := range files {
		if err := readLog(account, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func readLog(account *bvexplain.Account, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // it was only read
	return account.Read(file)
}
