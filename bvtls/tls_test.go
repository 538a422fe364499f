package bvtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials"
)

// issuer signs certificates for 127.0.0.1.
type issuer struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newIssuer(t *testing.T) *issuer {
	issuer := &issuer{t: t}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "test authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	issuer.certificate, issuer.key = issuer.issue(template)
	return issuer
}

func (issuer *issuer) issue(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(issuer.t, err)
	template.SerialNumber, err = rand.Int(rand.Reader, big.NewInt(1<<60))
	require.NoError(issuer.t, err)
	parent, signer := issuer.certificate, issuer.key
	if parent == nil {
		parent, signer = template, key
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(issuer.t, err)
	certificate, err := x509.ParseCertificate(encoded)
	require.NoError(issuer.t, err)
	return certificate, key
}

// write issues a certificate into the files and returns its serial number.
func (issuer *issuer) write(files Files) *big.Int {
	certificate, key := issuer.issue(&x509.Certificate{
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	encodedKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(issuer.t, err)
	writePEM(issuer.t, files.Certificate, "CERTIFICATE", certificate.Raw)
	writePEM(issuer.t, files.Key, "EC PRIVATE KEY", encodedKey)
	writePEM(issuer.t, files.Authority, "CERTIFICATE", issuer.certificate.Raw)
	return certificate.SerialNumber
}

var writeCount int

// writePEM writes a file with a unique modification time: two writes of a test can fall
// into one tick of the file system's clock.
func writePEM(t *testing.T, path, kind string, content []byte) {
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
	writeCount++
	at := time.Unix(int64(1_000_000+writeCount), 0)
	require.NoError(t, os.Chtimes(path, at, at))
}

func newFiles(t *testing.T) Files {
	directory := t.TempDir()
	return Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
}

func newSource(t *testing.T, files Files) *Source {
	log := logrus.New()
	log.SetOutput(io.Discard)
	source, err := New(files, log)
	require.NoError(t, err)
	return source
}

// serialOf returns the serial number of the certificate that a server presents.
func serialOf(t *testing.T, client *Source, address string) *big.Int {
	connection, err := client.Dial(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	return connection.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber
}

func serve(t *testing.T, source *Source, check ClientCheck) string {
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = source.ServerConfig(check)
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestRenewedCertificateIsShownWithoutRestart(t *testing.T) {
	files, issuer := newFiles(t), newIssuer(t)
	first := issuer.write(files)
	source := newSource(t, files)
	address := serve(t, source, SignedClients)
	require.Equal(t, first, serialOf(t, source, address))
	second := issuer.write(files)
	require.Equal(t, second, serialOf(t, source, address))
}

// Guards against using a new certificate before its key has been written.
func TestHalfWrittenPairLeavesTheLastGoodOneInForce(t *testing.T) {
	files, issuer := newFiles(t), newIssuer(t)
	first := issuer.write(files)
	source := newSource(t, files)
	address := serve(t, source, SignedClients)
	require.NoError(t, os.WriteFile(files.Key, []byte("not written yet"), 0o600))
	require.Equal(t, first, serialOf(t, source, address))
	require.NoError(t, os.Remove(files.Certificate))
	require.Equal(t, first, serialOf(t, source, address))
	second := issuer.write(files)
	require.Equal(t, second, serialOf(t, source, address))
}

func TestMissingFileIsAnErrorAtTheStart(t *testing.T) {
	_, err := New(newFiles(t), logrus.New())
	require.ErrorContains(t, err, "certificate.pem")
}

// handshake performs a handshake between two hosts and returns the error of each side.
func handshake(t *testing.T, client, server credentials.TransportCredentials) (clientErr, serverErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	serverResult := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			_, _, err = server.ServerHandshake(connection)
		}
		serverResult <- err
	}()
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_, _, clientErr = client.ClientHandshake(t.Context(), listener.Addr().String(), connection)
	return clientErr, <-serverResult
}

func TestHostsOfOneAuthorityAcceptEachOther(t *testing.T) {
	files := newFiles(t)
	newIssuer(t).write(files)
	source := newSource(t, files)
	clientErr, serverErr := handshake(t, source.Credentials(), source.Credentials())
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)
}

// Guards against accepting a host's certificate from another authority.
func TestHostOfAnotherAuthorityIsRejected(t *testing.T) {
	files, strangers := newFiles(t), newFiles(t)
	issuer := newIssuer(t)
	issuer.write(files)
	newIssuer(t).write(strangers)
	writePEM(t, strangers.Authority, "CERTIFICATE", issuer.certificate.Raw)
	_, serverErr := handshake(t, newSource(t, strangers).Credentials(), newSource(t, files).Credentials())
	require.Error(t, serverErr)
}

// Guards against an authority that takes effect only after a restart.
func TestReplacedAuthorityCountsForTheNextHandshake(t *testing.T) {
	files, others := newFiles(t), newFiles(t)
	issuer, otherIssuer := newIssuer(t), newIssuer(t)
	issuer.write(files)
	otherIssuer.write(others)
	source, other := newSource(t, files), newSource(t, others)
	_, before := handshake(t, other.Credentials(), source.Credentials())
	require.Error(t, before)
	writePEM(t, files.Authority, "CERTIFICATE", otherIssuer.certificate.Raw)
	writePEM(t, others.Authority, "CERTIFICATE", issuer.certificate.Raw)
	clientErr, serverErr := handshake(t, other.Credentials(), source.Credentials())
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)
}
