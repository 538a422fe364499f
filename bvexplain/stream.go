package bvexplain

import (
	"cmp"
	"fmt"
	"slices"
)

// Values of the field "stream".
const (
	newStream     = "new"
	resumedStream = "resumed"
)

// streams counts the attempts that begin or resume a stream, and holds those of resumed streams.
// The zero value is empty.
type streams struct {
	began            linesByRequest // attempts that brought the first event
	resumptions      []*line
	started, resumed streamCount
}

type linesByRequest map[string]*line

// streamCount counts attempts, and those that brought an event.
type streamCount struct{ attempts, withEvents int }

func (count *streamCount) add(line *line) {
	count.attempts++
	if line.Events > 0 {
		count.withEvents++
	}
}

func (count streamCount) String() string {
	share := 0.0
	if count.attempts > 0 {
		share = 100 * float64(count.withEvents) / float64(count.attempts)
	}
	return fmt.Sprintf("%d of %d (%.0f %%)", count.withEvents, count.attempts, share)
}

// add counts a line. Lines above the bound are counted and not joined.
func (streams *streams) add(line *line) {
	switch line.Stream {
	case newStream:
		streams.started.add(line)
		if line.Events > 0 && len(streams.began) < maxRows {
			streams.addBegin(line)
		}
	case resumedStream:
		streams.resumed.add(line)
		if len(streams.resumptions) < maxRows {
			streams.resumptions = append(streams.resumptions, line)
		}
	}
}

func (streams *streams) addBegin(line *line) {
	if streams.began == nil {
		streams.began = make(linesByRequest)
	}
	streams.began[line.Request] = line
}

// resumption is an attempt that resumed a stream, and the attempt that began it.
type resumption struct {
	began *line // nil: it is not in the logs
	line  *line
}

// mixes reports whether the stream has events of two software versions.
func (resumption resumption) mixes() bool {
	return resumption.began != nil && resumption.line.Events > 0 && resumption.began.EndpointVersion != resumption.line.EndpointVersion
}

// join returns the resumptions, those that mix versions first, each with its begin.
func (streams *streams) join() (joined []resumption, mixed, unknown int) {
	for _, line := range streams.resumptions {
		found := resumption{streams.began[line.Resumes], line}
		if found.mixes() {
			mixed++
		}
		if found.began == nil {
			unknown++
		}
		joined = append(joined, found)
	}
	slices.SortStableFunc(joined, func(a, b resumption) int {
		switch {
		case a.mixes() && !b.mixes():
			return -1
		case b.mixes() && !a.mixes():
			return 1
		}
		return cmp.Compare(a.line.at, b.line.at)
	})
	return joined, mixed, unknown
}

// maxPrintedResumptions is the number of resumed streams that are printed.
const maxPrintedResumptions = 20

func (printer *printer) streams(streams *streams) {
	if streams.resumed.attempts == 0 {
		return
	}
	joined, mixed, unknown := streams.join()
	printer.line("\nstreams that began: %s; that were resumed and went on: %s, %d of them at another software version; begin not in the logs: %d",
		streams.started, streams.resumed, mixed, unknown)
	printer.line("%-16s  %-36s  %-16s  %-36s  %-40s  %s", "began as", "at", "resumed as", "at", "the host knew", "open then; outcome")
	for _, resumption := range joined[:min(len(joined), maxPrintedResumptions)] {
		printer.line("%-16s  %-36s  %-16s  %-36s  %-40s  %v %s", resumption.line.Resumes, resumption.began.place(), resumption.line.Request,
			resumption.line.place(), resumption.line.knowledge(), resumption.line.OpenVersions, resumption.line.outcome())
	}
}

// place returns the host, the endpoint and its software version of a request's line.
func (line *line) place() string {
	switch {
	case line == nil:
		return "not in the logs"
	case line.Endpoint == "":
		return line.host + ", not sent"
	}
	return fmt.Sprintf("%s, %s (%s)", line.host, line.Endpoint, line.EndpointVersion)
}

// knowledge returns what a host knew of the begin of a resumed stream, and from where.
func (line *line) knowledge() string {
	if line.KnownFrom == "" {
		return fmt.Sprintf("nothing, %d of %d hosts answered", line.HostsAnswered, line.HostsAsked)
	}
	return fmt.Sprintf("%s from %s, %d ms old", line.KnownVersion, line.KnownFrom, line.KnownAge)
}

// outcome returns the number of events that a request brought, or its error.
func (line *line) outcome() string {
	if line.Events == 0 {
		return line.Error
	}
	return fmt.Sprintf("%d events", line.Events)
}
