package bvdispatch

import (
	"slices"

	"balsamvalve.example/bvclock"
)

// A decision that compares all endpoints costs the more the larger the fleet is. Beyond
// scannedRows it looks at those that are likely to be good: the one that has the
// conversation, the first ones in the order of the prompt's first part or of the object,
// those that this host has just used, and some drawn at random.
const (
	scannedRows = 512
	// drawnNear and drawnAll are how many are drawn of this availability zone and of
	// all; a sample of this size holds idle endpoints unless nearly all are full.
	drawnNear = 64
	drawnAll  = 64
	// orderRows is how many of the first ones in an order are looked at.
	orderRows = 8
	// recentRows is how many endpoints are remembered as just used.
	recentRows = 32
	// shareRows is how many endpoints the share of all places that are taken is
	// estimated from.
	shareRows = 512
)

const (
	// connectionCost is what a new connection takes, in milliseconds. A host has one
	// to each endpoint of a short list, and spreads its calls over all of them.
	connectionCost = 2
	// connectionKept is how long after a call its connection is likely to be there.
	connectionKept = 4 * bvclock.Second
)

// candidates returns the endpoints that a decision looks at. The result is valid until
// the next call.
func (pool *Pool) candidates(request *Request) []*endpoint {
	if len(pool.rows) <= scannedRows {
		return pool.rows
	}
	pool.drawing++
	pool.drawn = pool.drawn[:0]
	pool.draw(pool.byHash[request.HeldPrefix.Endpoint])
	for endpoint := range request.PeerCalls {
		pool.draw(pool.byHash[endpoint])
	}
	if request.Object != 0 {
		pool.draw(pool.first(request.Object)...)
	}
	if len(request.Prefix) > 0 {
		pool.draw(pool.first(request.Prefix[0].Key)...)
	}
	pool.draw(pool.recent...)
	near := pool.nearRows()
	for range min(drawnNear, len(near)) {
		pool.draw(near[pool.random.IntN(len(near))])
	}
	for range drawnAll {
		pool.draw(pool.rows[pool.random.IntN(len(pool.rows))])
	}
	return pool.drawn
}

// draw adds endpoints to the candidates, each once.
func (pool *Pool) draw(rows ...*endpoint) {
	for _, row := range rows {
		if row != nil && row.drawnIn != pool.drawing {
			row.drawnIn = pool.drawing
			pool.drawn = append(pool.drawn, row)
		}
	}
}

// nearRows returns the endpoints of this host's availability zone.
func (pool *Pool) nearRows() []*endpoint {
	if pool.nearOf != pool.changes {
		pool.nearOf, pool.near = pool.changes, pool.near[:0]
		for _, row := range pool.rows {
			if row.entry.Zone == pool.zone {
				pool.near = append(pool.near, row)
			}
		}
	}
	return pool.near
}

// orders remembers the first endpoints in the orders of some keys.
type orders struct {
	of   int // changes of the list that they are of
	rows map[uint64][]*endpoint
}

// mostOrders bounds the orders that are remembered: prompts of a kind begin with one of
// few parts, while objects are many.
const mostOrders = 64

// first returns the first endpoints in a key's order.
func (pool *Pool) first(key uint64) []*endpoint {
	if pool.orders.of != pool.changes || len(pool.orders.rows) >= mostOrders {
		pool.orders = orders{of: pool.changes, rows: make(map[uint64][]*endpoint)}
	}
	if rows, found := pool.orders.rows[key]; found {
		return rows
	}
	type placed struct {
		row   *endpoint
		place float64
	}
	best := make([]placed, 0, orderRows+1)
	for _, row := range pool.rows {
		place := row.place(key)
		if len(best) == orderRows && place >= best[orderRows-1].place {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, place, func(other placed, place float64) int {
			if other.place < place {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, placed{row, place})
		best = best[:min(len(best), orderRows)]
	}
	rows := make([]*endpoint, len(best))
	for i, placed := range best {
		rows[i] = placed.row
	}
	pool.orders.rows[key] = rows
	return rows
}

// noteRecent remembers that this host calls an endpoint.
func (pool *Pool) noteRecent(row *endpoint) {
	if at := slices.Index(pool.recent, row); at >= 0 {
		pool.recent = slices.Delete(pool.recent, at, at+1)
	}
	pool.recent = append(pool.recent, row)
	if len(pool.recent) > recentRows {
		pool.recent = slices.Delete(pool.recent, 0, 1)
	}
}

// listChanged drops what was worked out from the list. Gone is no longer on it.
func (pool *Pool) listChanged(gone *endpoint) {
	pool.changes++
	if at := slices.Index(pool.recent, gone); at >= 0 {
		pool.recent = slices.Delete(pool.recent, at, at+1)
	}
}
