package bvdaemon

import (
	"net/http"

	"balsamvalve.example/bvkey"
	"balsamvalve.example/bvoperator"
	"balsamvalve.example/bvtable"
)

// operatorHandler serves the API of operators and the balancer's readiness check.
func (daemon *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", daemon.serveReady)
	table := &bvoperator.Handler{
		Editor: &bvtable.Editor{
			Store:     daemon.platform,
			Follower:  daemon.table.follower,
			Endpoints: daemon.platform,
			Hosts:     daemon.platform,
			Confirmer: tablePeers{daemon: daemon},
			Host:      daemon.Name(),
		},
		Ring:   func() *bvkey.Ring { return daemon.settings.Ring() },
		Status: daemon.status,
	}
	mux.HandleFunc("GET /debug/vars", table.AdminOnly(daemon.measures))
	table.Register(mux)
	return mux
}

func (daemon *Daemon) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !daemon.Ready() {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}
