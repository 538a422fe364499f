//go:build keep

// Package keep holds the dependencies that are about to be used.
package keep

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/sirupsen/logrus"
	_ "github.com/spf13/cobra"
	_ "github.com/stretchr/testify/require"
	_ "go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	_ "go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
