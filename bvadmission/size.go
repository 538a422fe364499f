package bvadmission

import (
	"math"

	"balsamvalve.example/bvclock"
)

const (
	// sizeWeight is the weight of a new program in a route's mean: the last 30 or so count.
	sizeWeight = 0.03
	// maxRoutes bounds the number of routes whose programs are known.
	maxRoutes = 256
	// preferenceWeight is the change of the limit for a program of no size.
	preferenceWeight = 0.6
	// minPreference and maxPreference bound the change of the limit, so that large programs
	// are served too.
	minPreference = 0.7
	maxPreference = 1.3
	// beyondDeviations is how many standard deviations above the mean the total times of a
	// route's programs reach. No header states the total time of a program that has started.
	beyondDeviations = 2
	// minSizes is the number of programs from which a route's sizes are known.
	minSizes = 5
)

// sizes are the total times that callers allow the programs of each route. Callers allow
// larger programs more time, so this shows their size. The zero value knows none.
type sizes struct {
	routes map[string]*routeSize
}

type routeSize struct {
	count        int
	mean, square float64 // milliseconds, and their square
}

func (sizes *sizes) add(route string, total bvclock.Duration) {
	if sizes.routes == nil {
		sizes.routes = make(map[string]*routeSize)
	}
	known := sizes.routes[route]
	if known == nil {
		if len(sizes.routes) >= maxRoutes {
			return
		}
		known = &routeSize{mean: float64(total), square: float64(total) * float64(total)}
		sizes.routes[route] = known
	}
	known.count++
	known.mean += sizeWeight * (float64(total) - known.mean)
	known.square += sizeWeight * (float64(total)*float64(total) - known.square)
}

// preference returns the factor of the limit for a program of a size.
func (sizes *sizes) preference(route string, total bvclock.Duration) float64 {
	known := sizes.routes[route]
	if known == nil {
		return 1
	}
	return min(max(1+preferenceWeight*(1-float64(total)/known.mean), minPreference), maxPreference)
}

// isBeyond reports whether a time is longer than the total times of a route's programs.
func (sizes *sizes) isBeyond(route string, time bvclock.Duration) bool {
	known := sizes.routes[route]
	if known == nil || known.count < minSizes {
		return false
	}
	deviation := math.Sqrt(max(known.square-known.mean*known.mean, 0))
	return float64(time) > known.mean+beyondDeviations*deviation
}
