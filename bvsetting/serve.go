// Package bvsetting is the one place for the settings of the daemon: names,
// defaults, units, help, parsing and validation.
//
// Each setting is a flag (--peer-address) with an environment twin
// (BALSAMVALVE_PEER_ADDRESS); the flag wins. Keys never stand in a flag,
// because every process of a machine can read another one's arguments: they
// come from the file that --keys-file names or from BALSAMVALVE_KEYS.
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

// Serve holds the settings of a daemon. It comes from Load; the zero value
// has no addresses to listen on.
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

// CallerAddress returns where callers' HTTP is served.
func (serve *Serve) CallerAddress() netip.AddrPort { return serve.callerAddress }

// PeerAddress returns where the other hosts' gRPC is served.
func (serve *Serve) PeerAddress() netip.AddrPort { return serve.peerAddress }

// OperatorAddress returns where the operators' HTTP is served.
func (serve *Serve) OperatorAddress() netip.AddrPort { return serve.operatorAddress }

// PlatformAddress returns where the platform's HTTP is reached.
func (serve *Serve) PlatformAddress() netip.AddrPort { return serve.platformAddress }

// KeysFile returns the path of the keys file; empty if the keys came from the
// environment.
func (serve *Serve) KeysFile() string { return serve.keysFile }

// Ring returns the keys as they were read by Load. It is never nil.
func (serve *Serve) Ring() *bvkey.Ring {
	if serve.ring == nil {
		return &bvkey.Ring{}
	}
	return serve.ring
}

// LogLevel returns the least severe level that is logged.
func (serve *Serve) LogLevel() logrus.Level { return serve.logLevel }

// LogFormat returns the form of a log line.
func (serve *Serve) LogFormat() LogFormat { return serve.logFormat }

// TraceExporter returns where spans go.
func (serve *Serve) TraceExporter() TraceExporter { return serve.traceExporter }

// TraceAddress returns where the OTLP collector's HTTP is reached.
func (serve *Serve) TraceAddress() netip.AddrPort { return serve.traceAddress }

// WriteBudget returns the writes a second to the platform that all hosts
// together may use.
func (serve *Serve) WriteBudget() int { return serve.writeBudget }

// PollInterval returns the time between two looks at the platform's lists and
// at the table's version.
func (serve *Serve) PollInterval() bvclock.Duration { return serve.pollInterval }

// SilenceLimit returns how long a stream may make no progress before its
// connection counts as silent.
func (serve *Serve) SilenceLimit() bvclock.Duration { return serve.silenceLimit }

// StopLimit returns the longest time that a graceful stop may take.
func (serve *Serve) StopLimit() bvclock.Duration { return serve.stopLimit }

// BodyLimit returns the largest request body, in bytes.
func (serve *Serve) BodyLimit() int64 { return serve.bodyLimit }

// QueueLimit returns the number of requests of one member that may wait.
func (serve *Serve) QueueLimit() int { return serve.queueLimit }

// CallerTLS returns the files for TLS towards callers and operators.
func (serve *Serve) CallerTLS() TLS { return serve.callerTLS }

// PeerTLS returns the files for TLS between hosts.
func (serve *Serve) PeerTLS() TLS { return serve.peerTLS }

// PlatformTLS returns the files for TLS towards the platform.
func (serve *Serve) PlatformTLS() TLS { return serve.platformTLS }

// TLS names the PEM files of one kind of connection. The zero value means
// plain TCP. Changed files are read again, so that a renewed certificate needs
// no restart.
type TLS struct {
	certificate string
	key         string
	authority   string
}

// Certificate returns the path of the own certificate.
func (tls TLS) Certificate() string { return tls.certificate }

// Key returns the path of the own private key.
func (tls TLS) Key() string { return tls.key }

// Authority returns the path of the certificates that the other side must be
// signed by.
func (tls TLS) Authority() string { return tls.authority }

// Enabled reports whether any file is named.
func (tls TLS) Enabled() bool { return tls != TLS{} }
