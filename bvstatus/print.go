package bvstatus

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"unicode/utf8"
)

// Width is the maximum line width of Print, in columns.
const Width = 80

// Widths of cells, in columns. The widest line, that of an endpoint, has
// cells of 20, 7, 14, 12, 7 and 9 columns with 2 between each two.
const (
	nameWidth   = 20
	servesWidth = 14
	zoneWidth   = 12
	columnGap   = 2
)

// Print writes the status as tables of at most Width columns.
func (status *Status) Print(output io.Writer) error {
	printer := &printer{output: output}
	printer.line("asked %s as %s; table version %d", truncate(status.Host, nameWidth), truncate(status.Member, nameWidth), status.Version)
	printer.hosts(status.Hosts)
	printer.endpoints(status.Endpoints)
	printer.members(status.Members)
	printer.counters(status.Counters)
	return printer.err
}

type printer struct {
	output io.Writer
	err    error
}

func (printer *printer) line(format string, arguments ...any) {
	if printer.err == nil {
		_, printer.err = fmt.Fprintf(printer.output, format+"\n", arguments...)
	}
}

// table writes rows of cells under a header.
func (printer *printer) table(header string, rows [][]string) {
	if printer.err != nil {
		return
	}
	printer.line("")
	writer := tabwriter.NewWriter(printer.output, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ReplaceAll(header, " ", "\t"))
	width := strings.Count(header, " ") + 1
	for _, row := range rows {
		// tabwriter would end the alignment of a column at a row without its cell.
		row = append(row, make([]string, width-len(row))...)
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	printer.err = writer.Flush()
}

func (printer *printer) hosts(hosts []Host) {
	var rows [][]string
	for _, host := range hosts {
		rows = append(rows, []string{
			truncate(host.Name, nameWidth), truncate(host.Zone, zoneWidth), host.State, versionText(host), confirmedText(host),
		})
	}
	printer.table("HOST ZONE STATE VERSION CONFIRMED", rows)
}

func versionText(host Host) string {
	switch {
	case !host.Answered:
		return "?"
	case host.Behind:
		return fmt.Sprintf("%d (behind)", host.Version)
	}
	return fmt.Sprint(host.Version)
}

func confirmedText(host Host) string {
	switch {
	case !host.Answered:
		return "no answer"
	case host.Refusing:
		return "too long ago"
	}
	return fmt.Sprintf("%.1f s ago", float64(host.Confirmed)/1000)
}

func (printer *printer) endpoints(endpoints []Endpoint) {
	var rows [][]string
	for _, endpoint := range endpoints {
		state := endpoint.State
		if endpoint.Ejected {
			state = "ejected"
		}
		rows = append(rows, []string{
			truncate(endpoint.Name, nameWidth), endpoint.Kind, truncate(endpoint.Serves, servesWidth),
			truncate(endpoint.Zone, zoneWidth), state, fmt.Sprintf("%d/%d", endpoint.Running, endpoint.Slots),
		})
	}
	printer.table("ENDPOINT KIND SERVES ZONE STATE RUNNING", rows)
}

func (printer *printer) members(members []Member) {
	var rows [][]string
	for _, member := range members {
		row := []string{truncate(member.Name, nameWidth), shareText(member.Share)}
		if details := member.Details; details != nil {
			row = append(row, fmt.Sprintf("%.0f", details.Work), fmt.Sprint(details.Queued), fmt.Sprint(details.Running),
				fmt.Sprint(details.Programs), fmt.Sprint(sum(details.Refusals)))
		}
		rows = append(rows, row)
	}
	printer.table("MEMBER SHARE WORK/10s QUEUED RUNNING PROGRAMS REFUSALS", rows)
	for _, member := range members {
		if member.Details != nil {
			printer.counters(member.Details.Refusals)
		}
	}
}

func shareText(share float64) string {
	if share == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g%%", share)
}

func sum(counts map[string]int64) int64 {
	total := int64(0)
	for _, count := range counts {
		total += count
	}
	return total
}

func (printer *printer) counters(counters map[string]int64) {
	if len(counters) == 0 {
		return
	}
	printer.line("")
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		printer.line("  %-45s %12d", truncate(name, 45), counters[name])
	}
}

// truncate shortens a text to a width and marks the cut with "~".
func truncate(text string, width int) string {
	if utf8.RuneCountInString(text) <= width {
		return text
	}
	return string([]rune(text)[:width-1]) + "~"
}
