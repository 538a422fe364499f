package bvtls

import (
	"context"
	"fmt"
	"net"

	"google.golang.org/grpc/credentials"
)

// Credentials returns gRPC credentials for both sides: each shows its
// certificate, and the authority must have signed the other's.
func (source *Source) Credentials() credentials.TransportCredentials {
	return &transport{source: source}
}

// transport builds the credentials anew for each handshake, since those of
// gRPC keep the authorities that they were made with.
type transport struct {
	source *Source
}

// ClientHandshake implements credentials.TransportCredentials.
func (transport *transport) ClientHandshake(ctx context.Context, authority string, connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return credentials.NewTLS(transport.source.client(host)).ClientHandshake(ctx, authority, connection)
}

// ServerHandshake implements credentials.TransportCredentials.
func (transport *transport) ServerHandshake(connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := transport.source.server(SignedClients)
	if err != nil {
		return nil, nil, err
	}
	if config.ClientCAs == nil {
		// Anybody who reaches the port could act as a host.
		return nil, nil, fmt.Errorf("tls: other hosts can't be told without an authority")
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

// OverrideServerName implements credentials.TransportCredentials. The name is
// always that of the address.
func (transport *transport) OverrideServerName(string) error {
	return nil
}
