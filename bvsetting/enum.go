package bvsetting

//go:generate stringer -type=LogFormat,TraceExporter -linecomment -output=enum_string.go

// LogFormat is the form of a log line.
type LogFormat int

// The log formats.
const (
	Text LogFormat = iota // text
	JSON                  // json
)

// TraceExporter says where spans go.
type TraceExporter int

// The trace exporters.
const (
	TraceOff    TraceExporter = iota // off
	TraceStdout                      // stdout
	TraceOTLP                        // otlp
)
