package bvsetting

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
)

const environmentPrefix = "BALSAMVALVE_"

// setting is one line of the table of settings: everything that is known of
// a setting stands here.
type setting struct {
	name    string // of the flag
	initial string
	help    string
	choices []string // all values, where they are few
	apply   func(serve *Serve, text string) error
}

func (setting setting) environment() string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(setting.name, "-", "_"))
}

// define ties a parser to the field that it fills.
func define[V any](name, initial, help string, parse func(string) (V, error), field func(*Serve) *V) setting {
	return setting{name: name, initial: initial, help: help, apply: func(serve *Serve, text string) error {
		value, err := parse(text)
		if err != nil {
			return err
		}
		*field(serve) = value
		return nil
	}}
}

// among lists all values, for shell completion.
func (setting setting) among(choices ...fmt.Stringer) setting {
	for _, choice := range choices {
		setting.choices = append(setting.choices, choice.String())
	}
	return setting
}

var settings = []setting{
	define("host-name", "", "name of this host, unique among all hosts (default: the peer address)",
		parseName, func(serve *Serve) *string { return &serve.hostName }),
	define("zone", "default", "availability zone of this host",
		parseName, func(serve *Serve) *string { return &serve.zone }),
	define("caller-address", "127.0.0.1:8080", "IP:port for callers' HTTP",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.callerAddress }),
	define("peer-address", "127.0.0.1:8081", "IP:port for the other hosts' gRPC",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.peerAddress }),
	define("operator-address", "127.0.0.1:8082", "IP:port for operators' HTTP, /ready, /status and /debug/vars",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.operatorAddress }),
	define("platform-address", "127.0.0.1:8090", "IP:port of the platform's HTTP",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.platformAddress }),
	define("keys-file", "", "file with a key a line: <member> <caller|operator|admin> <key>; or set BALSAMVALVE_KEYS",
		parsePath, func(serve *Serve) *string { return &serve.keysFile }),
	define("log-level", "info", "error, warn, info, debug or trace",
		parseLogLevel, func(serve *Serve) *logrus.Level { return &serve.logLevel }).
		among(logrus.ErrorLevel, logrus.WarnLevel, logrus.InfoLevel, logrus.DebugLevel, logrus.TraceLevel),
	define("log-format", "text", "text or json",
		parseEnum(Text, JSON), func(serve *Serve) *LogFormat { return &serve.logFormat }).among(Text, JSON),
	define("trace-exporter", "off", "off, stdout or otlp",
		parseEnum(TraceOff, TraceStdout, TraceOTLP), func(serve *Serve) *TraceExporter { return &serve.traceExporter }).
		among(TraceOff, TraceStdout, TraceOTLP),
	define("trace-address", "127.0.0.1:4318", "IP:port of the OTLP collector's HTTP",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.traceAddress }),
	define("write-budget", "300", "writes a second to the platform, for all hosts together",
		parseCount(1, 1_000_000), func(serve *Serve) *int { return &serve.writeBudget }),
	define("poll-interval", "1s", "time between two looks at the platform's lists and the table's version",
		parseDuration(10*bvclock.Millisecond, 2*bvclock.Second), func(serve *Serve) *bvclock.Duration { return &serve.pollInterval }),
	define("silence-limit", "15s", "longest time without progress on a stream before its connection counts as silent",
		parseDuration(100*bvclock.Millisecond, bvclock.Hour), func(serve *Serve) *bvclock.Duration { return &serve.silenceLimit }),
	define("stop-limit", "60s", "longest graceful stop",
		parseDuration(0, 24*bvclock.Hour), func(serve *Serve) *bvclock.Duration { return &serve.stopLimit }),
	define("body-limit", "16MiB", "largest request body, in bytes",
		parseBytes(1<<10, 1<<30), func(serve *Serve) *int64 { return &serve.bodyLimit }),
	define("queue-limit", "1024", "requests of one member that may wait",
		parseCount(1, 1_000_000), func(serve *Serve) *int { return &serve.queueLimit }),
	define("caller-tls-cert", "", "certificate (PEM file) shown to callers and operators; empty: plain HTTP",
		parsePath, func(serve *Serve) *string { return &serve.callerTLS.certificate }),
	define("caller-tls-key", "", "private key (PEM file) of the certificate for callers",
		parsePath, func(serve *Serve) *string { return &serve.callerTLS.key }),
	define("caller-tls-ca", "", "certificates (PEM file) that callers' certificates must be signed by",
		parsePath, func(serve *Serve) *string { return &serve.callerTLS.authority }),
	define("peer-tls-cert", "", "certificate (PEM file) of this host towards other hosts; empty: plain gRPC",
		parsePath, func(serve *Serve) *string { return &serve.peerTLS.certificate }),
	define("peer-tls-key", "", "private key (PEM file) of the certificate towards other hosts",
		parsePath, func(serve *Serve) *string { return &serve.peerTLS.key }),
	define("peer-tls-ca", "", "certificates (PEM file) that other hosts' certificates must be signed by",
		parsePath, func(serve *Serve) *string { return &serve.peerTLS.authority }),
	define("platform-tls-cert", "", "certificate (PEM file) shown to the platform",
		parsePath, func(serve *Serve) *string { return &serve.platformTLS.certificate }),
	define("platform-tls-key", "", "private key (PEM file) of the certificate shown to the platform",
		parsePath, func(serve *Serve) *string { return &serve.platformTLS.key }),
	define("platform-tls-ca", "", "certificates (PEM file) that the platform's must be signed by; empty: plain HTTP",
		parsePath, func(serve *Serve) *string { return &serve.platformTLS.authority }),
}
