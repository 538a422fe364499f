package bvdaemon

import (
	"context"
	"os"

	"go.opentelemetry.io/otel/sdk/trace"

	"balsamvalve.example/bvtrace"
)

// Option configures a daemon.
type Option func(daemon *Daemon)

// WithSpanExporter passes the spans to an exporter of a program that embeds the
// daemon, in place of the exporter in the settings.
func WithSpanExporter(exporter trace.SpanExporter) Option {
	return func(daemon *Daemon) { daemon.spanExporter = exporter }
}

func (daemon *Daemon) openTraces() (err error) {
	daemon.traces, err = bvtrace.New(context.Background(), bvtrace.Config{
		Exporter:    daemon.settings.TraceExporter(),
		Address:     daemon.settings.TraceAddress().String(),
		Output:      os.Stdout,
		Host:        daemon.Name(),
		Zone:        daemon.settings.Zone(),
		Incarnation: daemon.incarnation,
		Spans:       daemon.spanExporter,
	})
	return err
}

// flushTraces exports the remaining spans.
func (daemon *Daemon) flushTraces(ctx context.Context) {
	if err := daemon.traces.Shutdown(ctx); err != nil {
		daemon.log.WithError(err).Warn("spans could not be exported")
	}
}
