package bvexplain

import (
	"cmp"
	"slices"
)

// departures holds the endpoints that left the list, and the last requests sent to each
// endpoint. The zero value is empty.
type departures struct {
	left      map[string]departure
	listedAt  map[string]float64         // last time an endpoint was new on a list
	lastSends map[string]map[string]send // by endpoint and host
}

// departure is the first line that reports that an endpoint left.
type departure struct {
	at      float64
	message string
}

// send is the last request that a host sent to an endpoint.
type send struct {
	at       float64
	request  string
	listAge  int64 // of the host's list at that time, in milliseconds
	retained bool  // the endpoint was not on the list
}

// add counts a line.
func (departures *departures) add(line *line) {
	switch line.Message {
	case "endpoints leaving", "endpoints removed":
		for _, endpoint := range line.Endpoints {
			departures.addDeparture(endpoint, departure{line.at, line.Message})
		}
	case "endpoints listed":
		for _, endpoint := range line.Endpoints {
			departures.addListing(endpoint, line.at)
		}
	}
	if line.isRequest() && line.Sends > 0 && !line.isRefused() {
		departures.addSend(line)
	}
}

func (departures *departures) addDeparture(endpoint string, added departure) {
	if departures.left == nil {
		departures.left = make(map[string]departure)
	}
	if known, found := departures.left[endpoint]; found && known.at <= added.at || len(departures.left) >= maxRows {
		return
	}
	departures.left[endpoint] = added
}

func (departures *departures) addListing(endpoint string, at float64) {
	if departures.listedAt == nil {
		departures.listedAt = make(map[string]float64)
	}
	if len(departures.listedAt) < maxRows {
		departures.listedAt[endpoint] = max(departures.listedAt[endpoint], at)
	}
}

func (departures *departures) addSend(line *line) {
	if departures.lastSends == nil {
		departures.lastSends = make(map[string]map[string]send)
	}
	byHost := departures.lastSends[line.Endpoint]
	if byHost == nil {
		if len(departures.lastSends) >= maxRows {
			return
		}
		byHost = make(map[string]send)
		departures.lastSends[line.Endpoint] = byHost
	}
	at := line.at - float64(line.Took-line.Sent)/1000
	if last, found := byHost[line.host]; !found || at > last.at {
		byHost[line.host] = send{at, line.Request, line.ListAge, line.Retained}
	}
}

// lateSend is the last request that a host sent to an endpoint after it left.
type lateSend struct {
	endpoint, host string
	departure      departure
	send           send
}

func (late lateSend) lagMs() float64 { return 1000 * (late.send.at - late.departure.at) }

// lateSends returns the last request of each host to each endpoint that left, the latest
// after the departure first, and the number of endpoints that left.
func (departures *departures) lateSends() (late []lateSend, count int) {
	for endpoint, departure := range departures.left {
		if departures.listedAt[endpoint] > departure.at {
			continue // its entry expired and is back
		}
		count++
		for host, send := range departures.lastSends[endpoint] {
			if send.at > departure.at {
				late = append(late, lateSend{endpoint, host, departure, send})
			}
		}
	}
	slices.SortFunc(late, func(a, b lateSend) int {
		return cmp.Or(cmp.Compare(b.lagMs(), a.lagMs()), cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.host, b.host))
	})
	return late, count
}

// maxPrintedSends is the number of late requests that are printed.
const maxPrintedSends = 20

func (printer *printer) departures(departures *departures) {
	late, count := departures.lateSends()
	if count == 0 {
		return
	}
	endpoints := make(map[string]bool)
	for _, late := range late {
		endpoints[late.endpoint] = true
	}
	printer.line("\nendpoints that left: %d; requests were sent to %d of them afterwards, the last ones of a host:", count, len(endpoints))
	printer.line("%8s  %-14s %-18s %12s  %-20s %8s %-9s %s", "after ms", "endpoint", "reported as", "at", "host", "list ms", "retained", "request")
	for _, late := range late[:min(len(late), maxPrintedSends)] {
		printer.line("%8.0f  %-14s %-18s %12.3f  %-20s %8d %-9t %s", late.lagMs(), late.endpoint, late.departure.message, late.departure.at,
			late.host, late.send.listAge, late.send.retained, late.send.request)
	}
}
