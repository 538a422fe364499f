package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of all hosts, as offsets of a free base port. The port range has 16 ports.
const (
	frontOffset = 0
	readyOffset = 1
	rangeOffset = 4
	rangePorts  = 16
)

// Base ports are tried from firstPort on, in steps.
const (
	firstPort       = 20300
	portStep        = 50
	portBases       = 200
	maxPortAttempts = 100
)

// settings are what differs between the deployments of the cases.
type settings struct {
	bounds string // further lines of the table of bounds
	ramMb  int
	zones  int // the hosts are in them in turn; 0: one
}

// fleet runs the daemons of some hosts as processes, each at an address of the loopback range.
type fleet struct {
	root     string // of the repository
	folder   string // for the settings files and the logs
	store    string // address
	basePort int
	settings settings
	hosts    []*host
}

// host is one host of a fleet.
type host struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

// startedFleets are the fleets of this run, for stopOnSignal.
var startedFleets []*fleet

// newFleet prepares hosts without starting them.
func newFleet(root, folder, store string, count int, settings settings) (*fleet, error) {
	fleet := &fleet{root: root, folder: folder, store: store, settings: settings}
	for number := range count {
		fleet.hosts = append(fleet.hosts, &host{
			fleet: fleet, name: fmt.Sprintf("edge-hall-%d", number+1), ip: fmt.Sprintf("127.0.1.%d", number+11),
			zone: fmt.Sprintf("hall-%d", 1+number%max(settings.zones, 1)),
		})
	}
	for attempt := range maxPortAttempts {
		base := firstPort + (os.Getpid()+attempt)%portBases*portStep // another case may start at the same time
		if fleet.isFree(base) {
			fleet.basePort = base
			startedFleets = append(startedFleets, fleet)
			return fleet, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// isFree reports whether the ports of all hosts are free.
func (fleet *fleet) isFree(base int) bool {
	for _, host := range fleet.hosts {
		for offset := range rangeOffset + rangePorts {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host.ip, base+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (host *host) address(offset int) string {
	return fmt.Sprintf("%s:%d", host.ip, host.fleet.basePort+offset)
}

// front is the address for callers.
func (host *host) front() string { return host.address(frontOffset) }

// start starts the daemon by the command of the deploy file; bootstrap is set at the first start of the
// whole system.
func (host *host) start(bootstrap bool) error {
	if err := host.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(host.fleet.folder, host.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	host.log = log
	host.process = exec.Command(filepath.Join(host.fleet.root, "target", "balsamvalve"), "route")
	host.process.Dir = host.fleet.root
	host.process.Env = append(os.Environ(), "BALSAMVALVE_NODE_FILE="+host.settingsPath())
	host.process.Stdout, host.process.Stderr = log, log
	if err := host.process.Start(); err != nil {
		return err
	}
	host.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait() // the exit status does not matter
		_ = log.Close()
		close(exited)
	}(host.process, host.exited)
	return nil
}

func (host *host) settingsPath() string {
	return filepath.Join(host.fleet.folder, host.name+".toml")
}

// writeSettings writes the settings file as the platform does.
func (host *host) writeSettings(bootstrap bool) error {
	return os.WriteFile(host.settingsPath(), []byte(host.settingsFile(bootstrap)), 0o600)
}

func (host *host) settingsFile(bootstrap bool) string {
	first := host.fleet.basePort + rangeOffset
	return fmt.Sprintf(`nodeName = %q
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "region"
portRange = [%d, %d]
seeds = []
bootstrap = %t
heartbeatMs = 1200
[zones]
%s = "region"
[listen]
front = %q
readyAddr = %q
[limits]
cpuShare = 0.8
cores = 1
ramMb = %d
maxFds = 8200
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
applyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
finishS = 10
settleMs = 1000
%s
[platform]
addr = %q
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
`, host.name, host.ip, host.zone, first, first+rangePorts-1, bootstrap, host.zone, host.front(), host.address(readyOffset), host.fleet.settings.ramMb, host.fleet.settings.bounds, host.fleet.store)
}

// signal sends a signal to the daemon.
func (host *host) signal(signal syscall.Signal) {
	_ = host.process.Process.Signal(signal) // fails only after its end
}

// awaitExit waits until the daemon has ended.
func (host *host) awaitExit(limit time.Duration) bool {
	select {
	case <-host.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// awaitReady waits until the daemon reports itself ready.
func (host *host) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + host.address(readyOffset) + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// startAll starts all hosts for the first time and waits until they are ready.
func (fleet *fleet) startAll() error {
	for _, host := range fleet.hosts {
		if err := host.start(true); err != nil {
			return err
		}
	}
	for _, host := range fleet.hosts {
		if !host.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", host.name)
		}
	}
	return nil
}

// stopAll ends all daemons that were started.
func (fleet *fleet) stopAll() {
	for _, host := range fleet.hosts {
		if host.process == nil {
			continue
		}
		host.signal(syscall.SIGCONT)
		host.signal(syscall.SIGKILL)
		host.awaitExit(5 * time.Second)
	}
}

// logLines returns the lines of the hosts' logs that contain a text.
func (fleet *fleet) logLines(text string) (lines []string) {
	for _, host := range fleet.hosts {
		content, err := os.ReadFile(filepath.Join(fleet.folder, host.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, text) {
				lines = append(lines, host.name+" "+strings.TrimSpace(line))
			}
		}
	}
	return lines
}
