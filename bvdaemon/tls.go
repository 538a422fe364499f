package bvdaemon

import (
	"net"
	"net/http"

	"google.golang.org/grpc/credentials"

	"balsamvalve.example/bvplatform"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/bvtls"
)

// transports are the TLS sources; nil where connections use plain TCP.
type transports struct {
	caller   *bvtls.Source
	peer     *bvtls.Source
	platform *bvtls.Source
}

func (daemon *Daemon) openTransports() (err error) {
	if daemon.transports.caller, err = daemon.openTransport(daemon.settings.CallerTLS()); err != nil {
		return err
	}
	if daemon.transports.peer, err = daemon.openTransport(daemon.settings.PeerTLS()); err != nil {
		return err
	}
	daemon.transports.platform, err = daemon.openTransport(daemon.settings.PlatformTLS())
	return err
}

func (daemon *Daemon) openTransport(files bvsetting.TLS) (*bvtls.Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return bvtls.New(bvtls.Files{
		Certificate: files.Certificate(),
		Key:         files.Key(),
		Authority:   files.Authority(),
	}, daemon.log)
}

// peerCredentials returns nil if connections between hosts use plain TCP.
func (daemon *Daemon) peerCredentials() credentials.TransportCredentials {
	if daemon.transports.peer == nil {
		return nil
	}
	return daemon.transports.peer.Credentials()
}

func (daemon *Daemon) platformClient() *bvplatform.Client {
	client := &bvplatform.Client{Address: daemon.settings.PlatformAddress().String()}
	if daemon.transports.platform != nil {
		client.DialTLS = daemon.transports.platform.Dial
	}
	return client
}

// serveHTTP serves until the server is shut down, with TLS if it is configured. The
// operators' port can't require client certificates, because the balancer, which
// polls /ready there, has none; operators authenticate with keys.
func (daemon *Daemon) serveHTTP(server *http.Server, listener net.Listener, check bvtls.ClientCheck) error {
	if daemon.transports.caller == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = daemon.transports.caller.ServerConfig(check)
	return server.ServeTLS(listener, "", "")
}
