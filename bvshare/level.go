package bvshare

import (
	"cmp"
	"math"
	"slices"
)

// demand is the rate of work that a workspace would use if it could.
type demand struct {
	rate   float64
	weight float64
}

// fairLevel returns the weighted max-min fair rate for each unit of weight: demands below it
// are met in full, and the others share what is left by their weights. It is infinite if the
// capacity meets all demands. It sorts the demands.
func fairLevel(demands []demand, capacity float64) float64 {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.rate/a.weight, b.rate/b.weight) })
	weights := 0.0
	for _, demand := range demands {
		weights += demand.weight
	}
	left := max(capacity, 0)
	for _, demand := range demands {
		level := left / weights
		if demand.rate > level*demand.weight {
			return level
		}
		left -= demand.rate
		weights -= demand.weight
	}
	return math.Inf(1)
}
