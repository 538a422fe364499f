// Package bvtls provides TLS for the daemon's connections and reads renewed
// certificates without a restart.
//
// A Source names the PEM files of one kind of connection. At each handshake it
// checks whether a file has changed and, if so, reads it again. If the new content
// can't be used, it logs an error and continues with the last valid content.
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

// dialTimeout bounds connecting and the handshake together. http.Transport continues
// dialing after the request has been canceled.
const dialTimeout = 2 * bvclock.Second

// Files are paths of PEM files.
type Files struct {
	Certificate string // presented to the other side; may be empty on a client
	Key         string // of the certificate
	Authority   string // signs the other side's certificates; empty: the system's on a client, none on a server
}

// ClientCheck selects which clients a server accepts.
type ClientCheck int

// The checks of clients.
const (
	AnyClient     ClientCheck = iota // no certificate is requested
	SignedClients                    // the authority, if there is one, must have signed the client's certificate
)

// Source provides TLS configurations with the newest valid content of the files.
// It is safe for concurrent use.
type Source struct {
	files       Files
	log         logrus.FieldLogger
	mutex       sync.Mutex
	certificate reloadable[*tls.Certificate]
	authority   reloadable[*authorityPool]
}

// New reads the files once; the error names the invalid file.
func New(files Files, log logrus.FieldLogger) (*Source, error) {
	source := &Source{files: files, log: log}
	if files.Certificate != "" {
		source.certificate = reloadable[*tls.Certificate]{paths: []string{files.Certificate, files.Key}, read: readKeyPair}
		if err := source.certificate.load(); err != nil {
			return nil, err
		}
	}
	if files.Authority != "" {
		source.authority = reloadable[*authorityPool]{paths: []string{files.Authority}, read: readAuthorityPool}
		if err := source.authority.load(); err != nil {
			return nil, err
		}
	}
	return source, nil
}

// current returns the newest valid content of the files; each may be nil.
func (source *Source) current() (*tls.Certificate, *authorityPool) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.certificate.current(source.log), source.authority.current(source.log)
}

// ServerConfig returns the configuration of an HTTP server. It needs a certificate.
func (source *Source) ServerConfig(check ClientCheck) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return source.handshakeConfig(check)
		},
	}
}

// handshakeConfig returns the server's configuration of one handshake.
func (source *Source) handshakeConfig(check ClientCheck) (*tls.Config, error) {
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
		// A resumed session would admit a client whose authority has since been
		// removed from the file.
		config.SessionTicketsDisabled = true
	}
	return config, nil
}

// clientConfig returns the client's configuration of one handshake; name is the IP
// address or DNS name that the server's certificate must be valid for.
func (source *Source) clientConfig(name string) *tls.Config {
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
	dialer := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout.Std()}, Config: source.clientConfig(host)}
	return dialer.DialContext(ctx, network, address)
}
