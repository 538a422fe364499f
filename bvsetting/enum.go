package bvsetting

//go:generate stringer -type=LogFormat,TraceExporter -linecomment -output=enum_string.go

// LogFormat is the format of log lines.
type LogFormat int

// The log formats.
const (
	Text LogFormat = iota // text
	JSON                  // json
)

// TraceExporter selects where spans are exported.
type TraceExporter int

// The trace exporters.
const (
	TraceOff    TraceExporter = iota // off
	TraceStdout                      // stdout
	TraceOTLP                        // otlp
)
