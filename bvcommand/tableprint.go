package bvcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"balsamvalve.example/bvoperator"
	"balsamvalve.example/bvtable"
)

func printJSON(command *cobra.Command, body any) error {
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}

func printView(command *cobra.Command, view bvoperator.View) error {
	if !view.Confirmed {
		_, _ = fmt.Fprintln(command.ErrOrStderr(), "warning: the platform can't be reached; the table is the one in force on this host")
	}
	_, _ = fmt.Fprintf(command.OutOrStdout(), "version %d\n", view.Version)
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	header := []string{"row"}
	for _, column := range bvtable.Columns() {
		header = append(header, column.String())
	}
	_, _ = fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range view.Rows {
		line := []string{row.Name().String()}
		for _, column := range bvtable.Columns() {
			text := row.Cell(column)
			if row.Member != view.Member && column != bvtable.Share {
				text = "" // hidden, not zero
			}
			line = append(line, text)
		}
		_, _ = fmt.Fprintln(writer, strings.Join(line, "\t"))
	}
	return writer.Flush()
}

func (flags *tableCommand) printOutcome(command *cobra.Command, outcome bvoperator.Outcome, err error) error {
	if err != nil {
		return err
	}
	if flags.asJSON {
		return printJSON(command, outcome)
	}
	if outcome.Proposal != nil {
		printProposal(command.OutOrStdout(), *outcome.Proposal)
	}
	if !outcome.Report.Changed {
		_, _ = fmt.Fprintln(command.OutOrStdout(), "nothing to change")
	}
	_, err = fmt.Fprintln(command.OutOrStdout(), outcome.Report)
	return err
}

func printProposal(writer io.Writer, proposal bvtable.Proposal) {
	var shares []string
	for _, share := range proposal.Shares {
		shares = append(shares, fmt.Sprintf("%s=%v", share.Member, share.Share))
	}
	_, _ = fmt.Fprintf(writer, "%s by %s, %s: %s", proposal.ID, proposal.Member, proposal.State, strings.Join(shares, " "))
	if missing := proposal.MissingConsents(); len(missing) > 0 {
		_, _ = fmt.Fprintf(writer, "; awaits %s", strings.Join(missing, ", "))
	}
	_, _ = fmt.Fprintln(writer)
}

func printHistory(writer io.Writer, changes []bvtable.Change) {
	for _, change := range changes {
		_, _ = fmt.Fprintf(writer, "version %d  %s  %s %s", change.Version, change.At.Format("2006-01-02 15:04:05"),
			change.Actor.Member, change.Actor.Role)
		if change.Proposal != "" {
			_, _ = fmt.Fprintf(writer, "  %s %s", change.Proposal, change.Note)
		}
		_, _ = fmt.Fprintln(writer)
		for _, cell := range change.Cells {
			_, _ = fmt.Fprintf(writer, "  %s %s: %q -> %q\n", cell.Row(), cell.Column, cell.Old, cell.New)
		}
	}
}
