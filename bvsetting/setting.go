package bvsetting

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
)

const environmentPrefix = "BALSAMVALVE_"

// setting is one entry of the table of settings, with all properties of a setting.
type setting struct {
	name         string // of the flag
	defaultValue string
	help         string
	choices      []string // all values, if the set is fixed
	apply        func(serve *Serve, text string) error
}

func (setting setting) environmentName() string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(setting.name, "-", "_"))
}

// newSetting returns a setting whose text is parsed into a field of Serve.
func newSetting[V any](name, initial, help string, parse func(string) (V, error), field func(*Serve) *V) setting {
	return setting{name: name, defaultValue: initial, help: help, apply: func(serve *Serve, text string) error {
		value, err := parse(text)
		if err != nil {
			return err
		}
		*field(serve) = value
		return nil
	}}
}

// withChoices sets the list of all values, for shell completion.
func (setting setting) withChoices(choices ...fmt.Stringer) setting {
	for _, choice := range choices {
		setting.choices = append(setting.choices, choice.String())
	}
	return setting
}

var settings = []setting{
	newSetting("host-name", "", "name of this host, unique among all hosts (default: the peer address)",
		parseName, func(serve *Serve) *string { return &serve.hostName }),
	newSetting("zone", "default", "availability zone of this host",
		parseName, func(serve *Serve) *string { return &serve.zone }),
	newSetting("caller-address", "127.0.0.1:8080", "IP:port for callers' HTTP",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.callerAddress }),
	newSetting("peer-address", "127.0.0.1:8081", "IP:port for the other hosts' gRPC",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.peerAddress }),
	newSetting("operator-address", "127.0.0.1:8082", "IP:port for operators' HTTP, /ready, /status and /debug/vars",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.operatorAddress }),
	newSetting("platform-address", "127.0.0.1:8090", "IP:port of the platform's HTTP",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.platformAddress }),
	newSetting("keys-file", "", "file with a key a line: <member> <caller|operator|admin> <key>; or set BALSAMVALVE_KEYS",
		parsePath, func(serve *Serve) *string { return &serve.keysFile }),
	newSetting("log-level", "info", "error, warn, info, debug or trace",
		parseLogLevel, func(serve *Serve) *logrus.Level { return &serve.logLevel }).
		withChoices(logrus.ErrorLevel, logrus.WarnLevel, logrus.InfoLevel, logrus.DebugLevel, logrus.TraceLevel),
	newSetting("log-format", "text", "text or json",
		parseEnum(Text, JSON), func(serve *Serve) *LogFormat { return &serve.logFormat }).withChoices(Text, JSON),
	newSetting("trace-exporter", "off", "off, stdout or otlp",
		parseEnum(TraceOff, TraceStdout, TraceOTLP), func(serve *Serve) *TraceExporter { return &serve.traceExporter }).
		withChoices(TraceOff, TraceStdout, TraceOTLP),
	newSetting("trace-address", "127.0.0.1:4318", "IP:port of the OTLP collector's HTTP",
		parseAddress, func(serve *Serve) *netip.AddrPort { return &serve.traceAddress }),
	newSetting("write-budget", "300", "writes a second to the platform, for all hosts together",
		parseCount(1, 1_000_000), func(serve *Serve) *int { return &serve.writeBudget }),
	newSetting("poll-interval", "1s", "interval at which the platform's lists and the table's version are polled",
		parseDuration(10*bvclock.Millisecond, 2*bvclock.Second), func(serve *Serve) *bvclock.Duration { return &serve.pollInterval }),
	newSetting("silence-limit", "15s", "longest time without progress on a stream before its connection counts as silent",
		parseDuration(100*bvclock.Millisecond, bvclock.Hour), func(serve *Serve) *bvclock.Duration { return &serve.silenceLimit }),
	newSetting("stop-limit", "60s", "maximum duration of a graceful stop",
		parseDuration(0, 24*bvclock.Hour), func(serve *Serve) *bvclock.Duration { return &serve.stopLimit }),
	newSetting("body-limit", "16MiB", "largest request body, in bytes",
		parseBytes(1<<10, 1<<30), func(serve *Serve) *int64 { return &serve.bodyLimit }),
	newSetting("queue-limit", "1024", "maximum number of queued requests of one member",
		parseCount(1, 1_000_000), func(serve *Serve) *int { return &serve.queueLimit }),
	newSetting("caller-tls-cert", "", "certificate (PEM file) shown to callers and operators; empty: plain HTTP",
		parsePath, func(serve *Serve) *string { return &serve.callerTLS.certificate }),
	newSetting("caller-tls-key", "", "private key (PEM file) of the certificate for callers",
		parsePath, func(serve *Serve) *string { return &serve.callerTLS.key }),
	newSetting("caller-tls-ca", "", "certificates (PEM file) that callers' certificates must be signed by",
		parsePath, func(serve *Serve) *string { return &serve.callerTLS.authority }),
	newSetting("peer-tls-cert", "", "certificate (PEM file) of this host towards other hosts; empty: plain gRPC",
		parsePath, func(serve *Serve) *string { return &serve.peerTLS.certificate }),
	newSetting("peer-tls-key", "", "private key (PEM file) of the certificate towards other hosts",
		parsePath, func(serve *Serve) *string { return &serve.peerTLS.key }),
	newSetting("peer-tls-ca", "", "certificates (PEM file) that other hosts' certificates must be signed by",
		parsePath, func(serve *Serve) *string { return &serve.peerTLS.authority }),
	newSetting("platform-tls-cert", "", "certificate (PEM file) shown to the platform",
		parsePath, func(serve *Serve) *string { return &serve.platformTLS.certificate }),
	newSetting("platform-tls-key", "", "private key (PEM file) of the certificate shown to the platform",
		parsePath, func(serve *Serve) *string { return &serve.platformTLS.key }),
	newSetting("platform-tls-ca", "", "certificates (PEM file) that the platform's must be signed by; empty: plain HTTP",
		parsePath, func(serve *Serve) *string { return &serve.platformTLS.authority }),
}
