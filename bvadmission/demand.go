package bvadmission

import "balsamvalve.example/bvclock"

// demandDecay is the time constant of the demand: how long a priority counts as present
// after its last request.
const demandDecay = 2 * bvclock.Second

// demand counts the programs that request admission. The zero value has counted none.
type demand struct {
	urgent, others float64
	updatedAt      bvclock.Time
}

func (demand *demand) add(now bvclock.Time, priority int) {
	factor := decay(demand.updatedAt, now, demandDecay)
	demand.urgent *= factor
	demand.others *= factor
	demand.updatedAt = now
	if priority == 0 {
		demand.urgent++
		return
	}
	demand.others++
}

// urgentShare returns the share of the most urgent programs in the demand.
func (demand *demand) urgentShare(now bvclock.Time) float64 {
	if demand.urgent == 0 {
		return 0
	}
	return demand.urgent / (demand.urgent + demand.others)
}
