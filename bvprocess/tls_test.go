package bvprocess

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvstandin"
	"balsamvalve.example/bvtls"
)

// issueCertificate writes a self-signed certificate for 127.0.0.1 that is its own authority.
func issueCertificate(t *testing.T) bvtls.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
		return path
	}
	return bvtls.Files{
		Certificate: write("certificate.pem", "CERTIFICATE", certificate),
		Key:         write("key.pem", "EC PRIVATE KEY", encodedKey),
		Authority:   write("authority.pem", "CERTIFICATE", certificate),
	}
}

// clientOf returns a client that trusts the authority and presents the certificate.
func clientOf(t *testing.T, files bvtls.Files) *http.Client {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	require.NoError(t, err)
	content, err := os.ReadFile(files.Authority)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(content))
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}},
	}}
}

// startTLS starts a cluster whose daemons use TLS with callers, peers and the platform. The
// engine announces itself at a plain port of the same platform.
func startTLS(t *testing.T, files bvtls.Files, daemons int) *cluster {
	platform := &bvstandin.Platform{}
	plain := httptest.NewServer(platform)
	t.Cleanup(plain.Close)
	source, err := bvtls.New(files, nil)
	require.NoError(t, err)
	secured := httptest.NewUnstartedServer(platform)
	secured.TLS = source.ServerConfig(bvtls.SignedClients)
	secured.StartTLS()
	t.Cleanup(secured.Close)
	cluster := &cluster{t: t}
	cluster.platform = &process{t: t, name: "platform", firstLine: "listening " + plain.Listener.Addr().String()}
	cluster.engines = append(cluster.engines, cluster.startEngine(0, "--instant"))
	arguments := []string{flag("platform-address", secured.Listener.Addr().String())}
	for _, kind := range []string{"caller", "peer", "platform"} {
		arguments = append(arguments, flag(kind+"-tls-cert", files.Certificate),
			flag(kind+"-tls-key", files.Key), flag(kind+"-tls-ca", files.Authority))
	}
	for i := range daemons {
		cluster.daemons = append(cluster.daemons, cluster.startDaemon(i, arguments...))
	}
	return cluster
}

// securedStatus returns the output of the status command over TLS.
func securedStatus(daemon *process, files bvtls.Files) string {
	command := exec.Command(os.Args[0], "status", "--ca", files.Authority)
	command.Env = append(os.Environ(), childVariable+"=1", "BALSAMVALVE_KEY="+boltsOperatorKey,
		"BALSAMVALVE_OPERATOR_ADDRESS="+daemon.field("operators"))
	output, _ := command.CombinedOutput()
	return string(output)
}

// Guards against a connection that lacks TLS or fails with it.
func TestEverythingWorksWithTLSOnAllConnections(t *testing.T) {
	t.Parallel()
	files := issueCertificate(t)
	client := clientOf(t, files)
	cluster := startTLS(t, files, 3)
	for _, daemon := range cluster.daemons {
		require.Eventually(t, func() bool {
			return strings.Count(securedStatus(daemon, files), "s ago") == 3
		}, testTimeout, poll, "all three hosts answer each other over TLS")
	}
	conversation := newConversation(t, boltsKey, "quote")
	for turn := range 6 {
		conversation.turn = turn + 1
		request := conversation.request(cluster.daemons[turn%3], "more anchors", false)
		request.URL.Scheme = "https"
		response, err := client.Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode, string(body))
		conversation.recordTurn("more anchors", contentOf(t, string(body)))
	}

	callers := cluster.daemons[0].field("callers")
	response, err := http.Get("http://" + callers + "/v1/programs/quote/answers/1")
	if err == nil {
		_ = response.Body.Close()
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	}
	client.Transport.(*http.Transport).TLSClientConfig.Certificates = nil
	client.CloseIdleConnections()
	_, err = client.Get("https://" + callers + "/v1/programs/quote/answers/1")
	require.Error(t, err)
}
