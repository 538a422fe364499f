package bvstandin

import (
	"context"
	"time"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvplatform"
)

const (
	announceInterval = time.Second
	endpointLapse    = 3 * bvclock.Second
)

// Announcer keeps an endpoint on the platform's list.
type Announcer struct {
	Client   *bvplatform.Client
	Endpoint func() bvplatform.Endpoint // as it stands now
}

// Run announces the endpoint again and again until ctx ends. A failed
// announcement is made again with the next one.
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

// Announce announces the endpoint once.
func (announcer *Announcer) Announce(ctx context.Context) error {
	return announcer.Client.PutEndpoint(ctx, announcer.Endpoint(), endpointLapse)
}

// Remove takes the endpoint off the list.
func (announcer *Announcer) Remove(ctx context.Context) error {
	return announcer.Client.RemoveEndpoint(ctx, announcer.Endpoint().Name)
}
