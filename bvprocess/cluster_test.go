package bvprocess

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bventry"
	"balsamvalve.example/bvhost"
	"balsamvalve.example/bvplatform"
)

// Keys of the two members.
const (
	piranKey = "piran-caller-key-0000"
	boltsKey = "bolts-caller-key-0000"

	piranOperatorKey = "piran-operator-key-00"
	boltsOperatorKey = "bolts-operator-key-00"
	adminKey         = "consortium-admin-key0"

	keyLines = "piran caller " + piranKey + "\nbolts caller " + boltsKey +
		"\npiran operator " + piranOperatorKey + "\nbolts operator " + boltsOperatorKey +
		"\nconsortium admin " + adminKey + "\n"
)

// poll is the interval at which a condition is checked. testTimeout bounds the wait for it and
// is only reached by a failing test.
const (
	poll        = 50 * time.Millisecond
	testTimeout = 30 * time.Second
)

// cluster is a set of processes that form one deployment.
type cluster struct {
	t        testing.TB
	platform *process
	engines  []*process
	services []*process
	daemons  []*process
}

type size struct {
	daemons  int
	engines  int
	services int
	engine   []string // additional arguments of engines
	daemon   []string // additional arguments of daemons
}

func startCluster(t *testing.T, size size) *cluster {
	t.Helper()
	cluster := &cluster{t: t}
	cluster.platform = start(t, "platform", nil, "standin", "platform")
	for i := range size.engines {
		cluster.engines = append(cluster.engines, cluster.startEngine(i, size.engine...))
	}
	for i := range size.services {
		cluster.services = append(cluster.services, cluster.startService(i))
	}
	for i := range size.daemons {
		cluster.daemons = append(cluster.daemons, cluster.startDaemon(i, size.daemon...))
	}
	cluster.waitReady()
	return cluster
}

func (cluster *cluster) startEngine(i int, further ...string) *process {
	name := fmt.Sprintf("engine-%d", i)
	arguments := []string{"standin", "engine", flag("platform", cluster.platform.address()), flag("name", name), flag("model", "m")}
	return start(cluster.t, name, nil, append(arguments, further...)...)
}

func (cluster *cluster) startService(i int) *process {
	name := fmt.Sprintf("service-%d", i)
	return start(cluster.t, name, nil, "standin", "service",
		flag("platform", cluster.platform.address()), flag("name", name), flag("service", "booking"))
}

func (cluster *cluster) startDaemon(i int, further ...string) *process {
	return cluster.startDaemonIn(i, nil, further...)
}

// startDaemonIn starts a daemon with additional environment variables.
func (cluster *cluster) startDaemonIn(i int, environment []string, further ...string) *process {
	name := fmt.Sprintf("host-%d", i)
	arguments := []string{
		"serve", flag("host-name", name), flag("platform-address", cluster.platform.address()),
		flag("caller-address", portZero()), flag("peer-address", portZero()), flag("operator-address", portZero()),
		flag("poll-interval", "200ms"),
	}
	environment = append(environment, "BALSAMVALVE_KEYS="+keyLines)
	return start(cluster.t, name, environment, append(arguments, further...)...)
}

// waitReady waits until every daemon is ready and lists all hosts of the cluster.
func (cluster *cluster) waitReady() {
	cluster.t.Helper()
	for _, daemon := range cluster.daemons {
		require.Eventually(cluster.t, func() bool {
			return isReady(daemon) && cluster.counter(daemon, "hosts") == len(cluster.daemons)
		}, testTimeout, poll, daemon.name)
	}
}

func isReady(daemon *process) bool {
	response, err := http.Get("http://" + daemon.field("operators") + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// assignedHost returns the name of the host to which a key is assigned while all daemons of
// the cluster are live.
func (cluster *cluster) assignedHost(key string) string {
	view := &bvhost.View{}
	var hosts []bvplatform.Host
	for _, daemon := range cluster.daemons {
		hosts = append(hosts, bvplatform.Host{Name: daemon.name})
	}
	view.Update(0, hosts)
	return view.Candidates(0, key)[0].Name
}

// programOwnedBy returns the name of a program that the given host owns.
func (cluster *cluster) programOwnedBy(member, host string) string {
	for i := 0; ; i++ {
		program := fmt.Sprintf("program-%d", i)
		if cluster.assignedHost(bventry.ProgramKey(member, program)) == host {
			return program
		}
	}
}

// decidingDaemon returns the daemon that decides for a pool.
func (cluster *cluster) decidingDaemon(pool string) *process {
	name := cluster.assignedHost("pool/" + pool)
	for _, daemon := range cluster.daemons {
		if daemon.name == name {
			return daemon
		}
	}
	cluster.t.Fatalf("no daemon is named %s", name)
	return nil
}

// otherDaemon returns a daemon other than the given one.
func (cluster *cluster) otherDaemon(daemon *process) *process {
	if cluster.daemons[0] != daemon {
		return cluster.daemons[0]
	}
	return cluster.daemons[1]
}

// getVariables requests a daemon's /debug/vars with a key.
func (process *process) getVariables(key string) *http.Response {
	request, err := http.NewRequest(http.MethodGet, "http://"+process.field("operators")+"/debug/vars", nil)
	require.NoError(process.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(process.t, err)
	return response
}

// counter returns a variable of a daemon's /debug/vars; 0 if there is none.
func (cluster *cluster) counter(daemon *process, name string) int {
	response := daemon.getVariables(adminKey)
	defer func() { _ = response.Body.Close() }()
	var variables map[string]json.RawMessage
	require.NoError(cluster.t, json.NewDecoder(response.Body).Decode(&variables))
	value := 0
	if raw, found := variables[name]; found {
		require.NoError(cluster.t, json.Unmarshal(raw, &value))
	}
	return value
}
