package bvshare

import "balsamvalve.example/bvclock"

// division is the division of a capacity between the workspaces.
type division struct {
	shares   *Shares
	capacity float64
	isKnown  bool
	level    float64 // rate for each unit of weight
	anyOver  bool    // a workspace uses more than its share
	anyBelow bool    // a workspace does not
}

func (shares *Shares) newDivision(capacity float64) division {
	division := division{shares: shares, capacity: capacity, isKnown: shares.isInformed() && isPositive(capacity)}
	if !division.isKnown {
		return division
	}
	demands := make([]demand, len(shares.totals.rows))
	for i, row := range shares.totals.rows {
		demands[i] = demand{rate: row.demand(), weight: shares.weight(row.Workspace)}
	}
	division.level = fairLevel(demands, capacity-shares.totals.remainder.Used)
	division.anyBelow = shares.totals.remainder.Used > 0
	for _, row := range shares.totals.rows {
		isOver := division.isOver(row)
		division.anyOver = division.anyOver || isOver
		division.anyBelow = division.anyBelow || !isOver
	}
	return division
}

func (division division) share(workspace uint32) float64 {
	return min(division.shares.weight(workspace)*division.level, division.capacity)
}

func (division division) isOver(usage Usage) bool {
	return usage.Used > division.share(usage.Workspace)
}

func (division division) standing(now bvclock.Time, usage Usage) Standing {
	standing := Standing{Use: usage.Used, Asked: usage.Asked, Age: division.shares.totals.age(now), Known: division.isKnown}
	if !division.isKnown {
		return standing
	}
	isOver := division.isOver(usage)
	standing.Share = division.share(usage.Workspace)
	standing.Over, standing.Below = isOver && division.anyBelow, !isOver && division.anyOver
	return standing
}
