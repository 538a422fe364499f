package bvdaemon

import (
	"context"
	"os"

	"go.opentelemetry.io/otel/sdk/trace"

	"balsamvalve.example/bvtrace"
)

// Option changes how a daemon is put together.
type Option func(daemon *Daemon)

// WithSpanExporter passes the spans to an exporter of a program that embeds the
// daemon, in place of the one of the settings.
func WithSpanExporter(exporter trace.SpanExporter) Option {
	return func(daemon *Daemon) { daemon.spans = exporter }
}

func (daemon *Daemon) openTraces() (err error) {
	daemon.traces, err = bvtrace.New(context.Background(), bvtrace.Config{
		Exporter:    daemon.settings.TraceExporter(),
		Address:     daemon.settings.TraceAddress().String(),
		Output:      os.Stdout,
		Host:        daemon.Name(),
		Zone:        daemon.settings.Zone(),
		Incarnation: daemon.incarnation,
		Spans:       daemon.spans,
	})
	return err
}

// flushTraces exports the spans that are left.
func (daemon *Daemon) flushTraces(limit context.Context) {
	if err := daemon.traces.Shutdown(limit); err != nil {
		daemon.log.WithError(err).Warn("spans could not be exported")
	}
}
