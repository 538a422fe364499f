package bvexplain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// maxPrintedCauses is the number of causes that are printed, the most frequent first.
const maxPrintedCauses = 20

// Print writes the account as text. Programs that are still in memory are counted as
// ended.
func (account *Account) Print(output io.Writer) error {
	account.programs.Purge()
	printer := &printer{output: output}
	printer.line("lines %d, not read %d; programs %d", account.lines, account.unreadableLines, account.programCount)
	for _, broken := range account.unreadableExamples {
		printer.line("  not read: %s", broken)
	}
	if account.options.Request != "" {
		printer.line("\nlines of %s", account.options.Request)
		for _, text := range account.matchedLines {
			printer.line("  %s", text)
		}
	}
	printer.table("route", account.routes)
	printer.table("host", account.hosts)
	printer.table("second", account.seconds)
	printer.causes("requests that were refused or failed, by cause", account.causes)
	printer.causes("programs by their last request", account.endCauses)
	printer.departures(&account.departures)
	printer.streams(&account.streams)
	printer.crashes(&account.crashes, len(account.hosts))
	printer.events(account.events)
	return printer.err
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	output io.Writer
	err    error
}

func (printer *printer) line(format string, values ...any) {
	if printer.err == nil {
		_, printer.err = fmt.Fprintf(printer.output, format+"\n", values...)
	}
}

func (printer *printer) table(name string, table table) {
	printer.line("\n%-20s %8s %7s %7s %7s %7s %6s %8s %7s %6s %6s",
		name, "answered", "refused", "failed", "p50 ms", "p95 ms", "here", "endpoint", "events", "kept", "read %")
	for _, name := range slices.Sorted(maps.Keys(table)) {
		row := table[name]
		read := 0.0
		if row.promptTokens > 0 {
			read = 100 * float64(row.uncachedTokens) / float64(row.promptTokens)
		}
		if name == "" {
			name = "(none)"
		}
		printer.line("%-20s %8d %7d %7d %7d %7d %6.0f %8.0f %7.0f %6.0f %6.0f", name,
			row.answered, row.refused, row.failed, row.duration.quantile(0.5), row.duration.quantile(0.95),
			row.localWait.value(), row.endpointWait.value(), row.events.value(), row.persistTime.value(), read)
	}
}

func (printer *printer) causes(title string, causes map[string]*cause) {
	printer.line("\n%s", title)
	names := slices.SortedFunc(maps.Keys(causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(causes[b].count, causes[a].count), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxPrintedCauses)] {
		example := causes[name].example
		printer.line("%7d  %s (such as request %s of program %q on host %q)",
			causes[name].count, name, example.Request, example.Program, example.host)
	}
	if left := len(names) - maxPrintedCauses; left > 0 {
		printer.line("         and %d more", left)
	}
}

func (printer *printer) events(events []event) {
	printer.line("\nprocesses")
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, event := range events {
		printer.line("%12.3f  %-20s %s", event.at, event.host, event.text)
	}
}
