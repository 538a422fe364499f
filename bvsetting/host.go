package bvsetting

import (
	"fmt"
	"net/netip"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvmechanism"
)

// Host holds the settings of a routing daemon, which its platform passes as one value.
// Check reports whether they are valid.
type Host struct {
	Name           string // of this host
	Zone           string // availability zone
	CallerAddress  string // IP:port for callers
	ReadyAddress   string // IP:port of the balancer's readiness check
	PeerAddress    string // IP:port for the other hosts
	MetricsAddress string // IP:port of counters and latencies
	StoreAddress   string // IP:port of the platform's store
	Memory         int64  // bytes that the process may use
	LinkRate       int64  // bytes per second that the host's link carries; 0: unknown
	MaxRowBytes    int    // maximum size of a row of the store
	FirstStart     bool   // the system starts for the first time, on all hosts

	DrainBound  bvclock.Duration // until a leaving endpoint must get no more calls
	StopBound   bvclock.Duration // from SIGTERM until the process is killed
	ApplyBound  bvclock.Duration // until a new desired state must be in force
	SettleBound bvclock.Duration // until the spending of a turn must be settled

	// RegistrationInterval is the time between two writes of an endpoint's entry; 0:
	// unknown. The platform removes the entry after three intervals without a write.
	RegistrationInterval bvclock.Duration

	// RevocationBound is the time after which a revoked key must be refused, also by
	// hosts that can't reach the store; 0: no bound for those.
	RevocationBound bvclock.Duration
	// QuotaWindow is the period over which workspaces' requests are compared with
	// their usage caps. In any such period, the requests run may exceed the cap by
	// QuotaOver, a fraction of the cap, plus QuotaSlack requests.
	QuotaWindow bvclock.Duration
	QuotaOver   float64
	QuotaSlack  float64

	Disabled bvmechanism.Set // mechanisms switched off for experiments
}

// minMemory is the memory that the runtime needs with a few calls in flight, in bytes.
const minMemory = 48 << 20

// Check returns an error that names the first invalid field.
func (host *Host) Check() error {
	addresses := []struct{ name, value string }{
		{"caller address", host.CallerAddress},
		{"ready address", host.ReadyAddress},
		{"peer address", host.PeerAddress},
		{"metrics address", host.MetricsAddress},
		{"store address", host.StoreAddress},
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return fmt.Errorf("%s: %q is not an IP number with a port", address.name, address.value)
		}
	}
	if host.Name == "" {
		return fmt.Errorf("host name is empty")
	}
	if host.Memory < minMemory {
		return fmt.Errorf("memory: %d bytes are under the least that works, %d", host.Memory, minMemory)
	}
	if err := host.checkBounds(); err != nil {
		return err
	}
	return host.checkOptional()
}

// checkOptional checks the fields that may be 0.
func (host *Host) checkOptional() error {
	bounds := []struct {
		name  string
		value float64
	}{
		{"link rate", float64(host.LinkRate)},
		{"revocation bound", float64(host.RevocationBound)},
		{"registration interval", float64(host.RegistrationInterval)},
		{"quota window", float64(host.QuotaWindow)},
		{"quota share", host.QuotaOver},
		{"quota slack", host.QuotaSlack},
	}
	for _, bound := range bounds {
		if bound.value < 0 {
			return fmt.Errorf("%s: %g is negative", bound.name, bound.value)
		}
	}
	return nil
}

func (host *Host) checkBounds() error {
	bounds := []struct {
		name  string
		value bvclock.Duration
	}{
		{"drain bound", host.DrainBound},
		{"stop bound", host.StopBound},
		{"apply bound", host.ApplyBound},
		{"settle bound", host.SettleBound},
	}
	for _, bound := range bounds {
		if bound.value <= 0 {
			return fmt.Errorf("%s: %v is not a positive time", bound.name, bound.value)
		}
	}
	return nil
}
