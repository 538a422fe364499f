package bvstandin

import (
	"context"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

const (
	announceInterval = time.Second
	endpointTTL      = 3 * bvclock.Second
)

// Announcer registers an endpoint on the platform's list and renews the entry.
type Announcer struct {
	Client   *bvplatform.Client
	Endpoint func() bvplatform.Endpoint // returns the current entry
}

// Run announces the endpoint at every announceInterval until ctx is done. It ignores
// a failed announcement, since the next one replaces it.
func (announcer *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		_ = announcer.Announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announce writes the endpoint's entry to the list once.
func (announcer *Announcer) Announce(ctx context.Context) error {
	return announcer.Client.PutEndpoint(ctx, announcer.Endpoint(), endpointTTL)
}

// Remove removes the endpoint from the list.
func (announcer *Announcer) Remove(ctx context.Context) error {
	return announcer.Client.RemoveEndpoint(ctx, announcer.Endpoint().Name)
}
