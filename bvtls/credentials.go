package bvtls

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/grpc/credentials"
)

// Credentials returns gRPC credentials for clients and servers: each side presents
// its certificate, which must be signed by the other's authority.
func (source *Source) Credentials() credentials.TransportCredentials {
	return &transport{source: source}
}

// transport creates new credentials for each handshake, because those of gRPC retain
// the authorities that they were created with.
type transport struct {
	source *Source
}

// ClientHandshake implements credentials.TransportCredentials.
func (transport *transport) ClientHandshake(ctx context.Context, authority string, connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return credentials.NewTLS(transport.source.clientConfig(host)).ClientHandshake(ctx, authority, connection)
}

// ServerHandshake implements credentials.TransportCredentials.
func (transport *transport) ServerHandshake(connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := transport.source.handshakeConfig(SignedClients)
	if err != nil {
		return nil, nil, err
	}
	if config.ClientCAs == nil {
		// Any client that reaches the port could act as a host.
		return nil, nil, fmt.Errorf("tls: other hosts can't be verified without an authority")
	}
	return credentials.NewTLS(config).ServerHandshake(connection)
}

// Info implements credentials.TransportCredentials.
func (transport *transport) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (transport *transport) Clone() credentials.TransportCredentials {
	return transport.source.Credentials()
}

// OverrideServerName implements credentials.TransportCredentials. It does nothing:
// the server name is always taken from the address.
func (transport *transport) OverrideServerName(string) error {
	return nil
}
