// Package bvsetting defines the settings of the daemon: names, defaults, units, help,
// parsing and validation.
//
// Each setting is a flag (--peer-address) with a corresponding environment variable
// (BALSAMVALVE_PEER_ADDRESS); the flag takes precedence. Keys are never passed in a
// flag, because every process on a host can read the arguments of the others: they
// are read from the file that --keys-file names or from BALSAMVALVE_KEYS.
//
// # Usage
//
//	bvsetting.AddFlags(command.Flags())
//	...
//	serve, err := bvsetting.Load(command.Flags(), os.LookupEnv)
//	if err != nil {
//		return err // an *Error that lists every bad setting
//	}
//	listener, err := net.Listen("tcp", serve.PeerAddress().String())
package bvsetting

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvkey"
)

// Serve holds the settings of a daemon. Load creates it; the zero value has no
// addresses to listen on.
type Serve struct {
	hostName        string
	zone            string
	callerAddress   netip.AddrPort
	peerAddress     netip.AddrPort
	operatorAddress netip.AddrPort
	platformAddress netip.AddrPort
	keysFile        string
	ring            *bvkey.Ring
	logLevel        logrus.Level
	logFormat       LogFormat
	traceExporter   TraceExporter
	traceAddress    netip.AddrPort
	writeBudget     int
	pollInterval    bvclock.Duration
	silenceLimit    bvclock.Duration
	stopLimit       bvclock.Duration
	bodyLimit       int64
	queueLimit      int
	callerTLS       TLS
	peerTLS         TLS
	platformTLS     TLS
}

// HostName returns the name of this host in the platform's list; the peer
// address unless set.
func (serve *Serve) HostName() string { return serve.hostName }

// Zone returns the availability zone of this host.
func (serve *Serve) Zone() string { return serve.zone }

// CallerAddress returns the listening address of the callers' HTTP.
func (serve *Serve) CallerAddress() netip.AddrPort { return serve.callerAddress }

// PeerAddress returns the listening address of the gRPC between hosts.
func (serve *Serve) PeerAddress() netip.AddrPort { return serve.peerAddress }

// OperatorAddress returns the listening address of the operators' HTTP.
func (serve *Serve) OperatorAddress() netip.AddrPort { return serve.operatorAddress }

// PlatformAddress returns the address of the platform's HTTP.
func (serve *Serve) PlatformAddress() netip.AddrPort { return serve.platformAddress }

// KeysFile returns the path of the keys file; empty if the keys are read from the
// environment.
func (serve *Serve) KeysFile() string { return serve.keysFile }

// Ring returns the keys that Load read. It is never nil.
func (serve *Serve) Ring() *bvkey.Ring {
	if serve.ring == nil {
		return &bvkey.Ring{}
	}
	return serve.ring
}

// LogLevel returns the least severe level that is logged.
func (serve *Serve) LogLevel() logrus.Level { return serve.logLevel }

// LogFormat returns the format of log lines.
func (serve *Serve) LogFormat() LogFormat { return serve.logFormat }

// TraceExporter returns the exporter of spans.
func (serve *Serve) TraceExporter() TraceExporter { return serve.traceExporter }

// TraceAddress returns the address of the OTLP collector's HTTP.
func (serve *Serve) TraceAddress() netip.AddrPort { return serve.traceAddress }

// WriteBudget returns the maximum number of writes per second to the platform, for all
// hosts together.
func (serve *Serve) WriteBudget() int { return serve.writeBudget }

// PollInterval returns the interval at which the platform's lists and the table's
// version are polled.
func (serve *Serve) PollInterval() bvclock.Duration { return serve.pollInterval }

// SilenceLimit returns how long a stream may make no progress before its
// connection counts as silent.
func (serve *Serve) SilenceLimit() bvclock.Duration { return serve.silenceLimit }

// StopLimit returns the longest time that a graceful stop may take.
func (serve *Serve) StopLimit() bvclock.Duration { return serve.stopLimit }

// BodyLimit returns the largest request body, in bytes.
func (serve *Serve) BodyLimit() int64 { return serve.bodyLimit }

// QueueLimit returns the maximum number of queued requests of one member.
func (serve *Serve) QueueLimit() int { return serve.queueLimit }

// CallerTLS returns the TLS files for connections from callers and operators.
func (serve *Serve) CallerTLS() TLS { return serve.callerTLS }

// PeerTLS returns the TLS files for connections between hosts.
func (serve *Serve) PeerTLS() TLS { return serve.peerTLS }

// PlatformTLS returns the TLS files for connections to the platform.
func (serve *Serve) PlatformTLS() TLS { return serve.platformTLS }

// TLS names the PEM files of one kind of connection. The zero value means
// plain TCP. Changed files are read again, so that a renewed certificate needs
// no restart.
type TLS struct {
	certificate string
	key         string
	authority   string
}

// Certificate returns the path of this host's certificate.
func (tls TLS) Certificate() string { return tls.certificate }

// Key returns the path of this host's private key.
func (tls TLS) Key() string { return tls.key }

// Authority returns the path of the CA certificates that verify the other side.
func (tls TLS) Authority() string { return tls.authority }

// Enabled reports whether any file is named.
func (tls TLS) Enabled() bool { return tls != TLS{} }
