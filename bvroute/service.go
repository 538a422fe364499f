package bvroute

import "balsamvalve.example/bvclock"

// Service is a row of the table of services.
type Service struct {
	Name           string
	HealthPath     string // answers 200 while an endpoint is healthy
	MaxConnections int    // that one endpoint accepts from all hosts together; 0 means no bound
	Engine         *Engine
}

// Engine holds what all model engines of a service have in common.
type Engine struct {
	Slots       int // requests that run at once
	CacheTokens int // memory for running requests and cached prefixes
	EventTokens int // tokens that one event of a stream stands for
	PinLimit    bvclock.Duration
}

// Limits bound what a client may send. A zero field means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout bvclock.Duration // from the first byte to the last of a request's headers
	IdleTimeout   bvclock.Duration // of a keep-alive connection between two requests
}
