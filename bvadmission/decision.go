package bvadmission

import "balsamvalve.example/bvclock"

// maxCapacityAge is the age up to which the capacity counts as known.
const maxCapacityAge = bvclock.Second

// Capacity is what is known of the load of a service's endpoints.
type Capacity struct {
	Calls     float64 // in flight, of all hosts
	Slots     float64
	Endpoints int
	Age       bvclock.Duration // of the reports on calls of other hosts
}

func (capacity Capacity) isKnown() bool { return capacity.Slots > 0 && capacity.Age <= maxCapacityAge }

// LoadShare returns the calls as a share of the slots; 0 where there are none.
func (capacity Capacity) LoadShare() float64 {
	if capacity.Slots <= 0 {
		return 0
	}
	return capacity.Calls / capacity.Slots
}

//go:generate stringer -type=Reason -linecomment -output=reason_string.go

// Reason is why a decision was made.
type Reason int

// The reasons.
const (
	HasCapacity     Reason = iota // has capacity
	FixedLoadLimit                // fixed limit
	CannotEndInTime               // can't end in time
)

// Decision is the decision on a program.
type Decision struct {
	Admitted   bool
	RetryAfter bvclock.Duration // set if it is not admitted
	Reason     Reason
	Projected  float64 // load share now
	Limit      float64 // load share from which it is rejected
}
