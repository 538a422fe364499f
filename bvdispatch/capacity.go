package bvdispatch

import "balsamvalve.example/bvclock"

// Capacity is what the endpoints that accept new calls can run, and what runs there.
type Capacity struct {
	Calls     float64 // in flight, of all hosts
	Slots     float64 // each weighted by the endpoint's speed: one that is twice as fast counts twice
	Endpoints int
}

// Capacity returns the capacity of the open endpoints. With many endpoints, it is estimated
// from a sample.
func (pool *Pool) Capacity(now bvclock.Time) Capacity {
	capacity, rows := pool.sampleCapacity(now)
	if rows == len(pool.rows) {
		return capacity
	}
	scale := float64(len(pool.rows)) / float64(rows)
	return Capacity{Calls: capacity.Calls * scale, Slots: capacity.Slots * scale, Endpoints: int(float64(capacity.Endpoints) * scale)}
}

// sampleCapacity returns the capacity of the open ones among all endpoints, or among a
// sample, and how many it has examined. A sample is weighted by the mean speed of the
// service: an estimate for each endpoint would take longer than the sample.
func (pool *Pool) sampleCapacity(now bvclock.Time) (capacity Capacity, rows int) {
	if len(pool.rows) <= loadSampleRows {
		for _, row := range pool.rows {
			capacity.add(now, row, pool.speedOf(now, row))
		}
		return capacity, len(pool.rows)
	}
	for range loadSampleRows {
		capacity.add(now, pool.rows[pool.random.IntN(len(pool.rows))], 1)
	}
	if pool.speeds.reporters > 0 {
		capacity.Slots *= pool.speeds.capacity
	}
	return capacity, loadSampleRows
}

// add adds an endpoint of a speed factor, if it is open.
func (capacity *Capacity) add(now bvclock.Time, row *endpoint, speed float64) {
	if !row.isOpen(now) {
		return
	}
	capacity.Calls += row.load(now)
	capacity.Slots += row.slots() / speed
	capacity.Endpoints++
}
