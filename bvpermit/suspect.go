package bvpermit

import (
	"context"
	"slices"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvgate"
	"balsamvalve.example/bvpeer"
)

// suspectHosts is how many of the hosts that would decide for a pool next are
// told of its suspects.
const suspectHosts = 2

// Suspects returns the suspects of a pool.
func (server *Server) Suspects(name string) []bvgate.Suspect {
	var suspects []bvgate.Suspect
	pool := server.pool(name)
	pool.do(func(now bvclock.Time) { suspects = pool.decisions.Suspects(now) })
	return suspects
}

// AddSuspects takes in what another host has seen.
func (server *Server) AddSuspects(told *bvpeer.Suspects) {
	suspects := make([]bvgate.Suspect, 0, len(told.GetSuspects()))
	for _, suspect := range told.GetSuspects() {
		suspects = append(suspects, bvgate.Suspect{
			Member:      suspect.GetMember(),
			Fingerprint: suspect.GetFingerprint(),
			Crashes:     int(suspect.GetCrashes()),
			Left:        bvclock.Duration(suspect.GetLeftMs()),
		})
	}
	pool := server.pool(told.GetPool())
	pool.do(func(now bvclock.Time) { pool.decisions.AddSuspects(now, suspects) })
}

// names returns the pools that this host was asked for.
func (server *Server) names() []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	names := make([]string, 0, len(server.pools))
	for name := range server.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ShareSuspects tells the hosts that would decide next of this host's suspects
// and returns how many hosts took them.
//
// It guards against a poisonous request whose deciding host is lost: the next
// one would know nothing of it and let it crash endpoints anew. Only the host
// that decides tells, or a suspect that it has cleared would come back to it.
func (client *Client) ShareSuspects(ctx context.Context) int {
	told := 0
	for _, name := range client.local.names() {
		candidates := client.view.Candidates(client.clock.Now(), "pool/"+name)
		if candidates[0].Name != client.view.Self().Name {
			continue
		}
		suspects := client.local.Suspects(name)
		if len(suspects) == 0 {
			continue
		}
		for _, host := range candidates[1:min(len(candidates), suspectHosts+1)] {
			peer, err := client.peers.Peer(host.PeerAddress)
			if err != nil {
				continue
			}
			if _, err := peer.ShareSuspects(ctx, messageOf(name, suspects)); err == nil {
				told++
			}
		}
	}
	return told
}

func messageOf(pool string, suspects []bvgate.Suspect) *bvpeer.Suspects {
	message := &bvpeer.Suspects{Pool: pool}
	for _, suspect := range suspects {
		message.Suspects = append(message.Suspects, &bvpeer.Suspect{
			Member:      suspect.Member,
			Fingerprint: suspect.Fingerprint,
			Crashes:     int32(suspect.Crashes),
			LeftMs:      int64(suspect.Left),
		})
	}
	return message
}
