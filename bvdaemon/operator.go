package bvdaemon

import "net/http"

// operatorHandler serves what operators and the balancer look at.
func (daemon *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", daemon.serveReady)
	mux.Handle("GET /debug/vars", daemon.measures)
	return mux
}

func (daemon *Daemon) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !daemon.ready.Load() {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}
