// Package bvtls gives TLS to the daemon's connections and reads renewed
// certificates without a restart.
//
// A Source names the PEM files of one kind of connection. At each handshake it
// looks whether a file has changed and reads it again. When the new content
// can't be used, it logs that and goes on with what it read last.
//
// # Usage
//
//	source, err := bvtls.New(bvtls.Files{Certificate: "c.pem", Key: "k.pem", Authority: "ca.pem"}, log)
//	server := &http.Server{TLSConfig: source.Server(bvtls.AnyClient)}
//	transport := &http.Transport{DialTLSContext: source.Dial}
//	pool := bvpeer.NewPool(source.Credentials(), tracers)
package bvtls

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
)

// dialTimeout bounds connecting and the handshake together. http.Transport
// goes on dialing after the request has given up.
const dialTimeout = 2 * bvclock.Second

// Files are paths of PEM files.
type Files struct {
	Certificate string // shown to the other side; may be empty on a client
	Key         string // of the certificate
	Authority   string // signs the other side's certificates; empty: system's on a client, nobody's on a server
}

// ClientCheck says which clients a server lets in.
type ClientCheck int

// The checks of clients.
const (
	AnyClient     ClientCheck = iota // a certificate is not asked for
	SignedClients                    // the authority, if there is one, must have signed the client's certificate
)

// Source gives TLS configurations with the newest usable content of the files.
// It is safe for concurrent use.
type Source struct {
	files       Files
	log         logrus.FieldLogger
	mutex       sync.Mutex
	certificate reloaded[*tls.Certificate]
	authority   reloaded[*authorities]
}

// New reads the files once; the error names the one that can't be used.
func New(files Files, log logrus.FieldLogger) (*Source, error) {
	source := &Source{files: files, log: log}
	if files.Certificate != "" {
		source.certificate = reloaded[*tls.Certificate]{paths: []string{files.Certificate, files.Key}, read: readPair}
		if err := source.certificate.load(); err != nil {
			return nil, err
		}
	}
	if files.Authority != "" {
		source.authority = reloaded[*authorities]{paths: []string{files.Authority}, read: readAuthorities}
		if err := source.authority.load(); err != nil {
			return nil, err
		}
	}
	return source, nil
}

// current returns the newest usable content of the files; each may be nil.
func (source *Source) current() (*tls.Certificate, *authorities) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.certificate.current(source.log), source.authority.current(source.log)
}

// Server returns the configuration of a server of HTTP. It needs a
// certificate.
func (source *Source) ServerConfig(check ClientCheck) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return source.server(check)
		},
	}
}

// server returns the configuration of one handshake.
func (source *Source) server(check ClientCheck) (*tls.Config, error) {
	certificate, authority := source.current()
	if certificate == nil {
		return nil, fmt.Errorf("tls: a server needs a certificate")
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{*certificate},
	}
	if check == SignedClients && authority != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = authority.pool
		// A resumed session would let a client in whose authority has been
		// taken off the file since.
		config.SessionTicketsDisabled = true
	}
	return config, nil
}

// client returns the configuration of one handshake; name is the IP number or
// name that the server's certificate must bear.
func (source *Source) client(name string) *tls.Config {
	certificate, authority := source.current()
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: name}
	if certificate != nil {
		config.Certificates = []tls.Certificate{*certificate}
	}
	if authority != nil {
		config.RootCAs = authority.pool
	}
	return config
}

// Dial connects to an HTTP/1.1 server, as http.Transport.DialTLSContext does.
func (source *Source) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	dialer := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout.Std()}, Config: source.client(host)}
	return dialer.DialContext(ctx, network, address)
}
