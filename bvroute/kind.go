package bvroute

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind says what may be repeated of a route's requests, and how they are
// answered.
type Kind int

// The kinds. The zero value is the one that allows least.
const (
	NonIdempotent Kind = iota // non-idempotent
	Idempotent                // idempotent
	Stream                    // stream
)
