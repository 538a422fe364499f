package bvsetting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"

	"balsamvalve.example/bvclock"
)

func load(t *testing.T, environment map[string]string, args ...string) (Serve, error) {
	t.Helper()
	flags := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	AddFlags(flags)
	require.NoError(t, flags.Parse(args))
	return Load(flags, func(name string) (string, bool) {
		text, found := environment[name]
		return text, found
	})
}

func problemText(t *testing.T, err error) string {
	t.Helper()
	var bad *Error
	require.ErrorAs(t, err, &bad)
	return bad.Error()
}

func TestDefaultsAreValid(t *testing.T) {
	serve, err := load(t, nil)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8081", serve.PeerAddress().String())
	require.Equal(t, "127.0.0.1:8081", serve.HostName())
	require.Equal(t, bvclock.Second, serve.PollInterval())
	require.EqualValues(t, 16<<20, serve.BodyLimit())
	require.Zero(t, serve.Ring().Len())
}

func TestFlagWinsOverEnvironment(t *testing.T) {
	environment := map[string]string{"BALSAMVALVE_ZONE": "izola", "BALSAMVALVE_WRITE_BUDGET": "200"}
	serve, err := load(t, environment, "--zone", "koper")
	require.NoError(t, err)
	require.Equal(t, "koper", serve.Zone())
	require.Equal(t, 200, serve.WriteBudget())
}

// Guards against a check that reports only the first invalid setting.
func TestEveryBadSettingIsNamedWithItsReason(t *testing.T) {
	environment := map[string]string{"BALSAMVALVE_POLL_INTERVAL": "9s"}
	_, err := load(t, environment, "--caller-address", "localhost:80", "--body-limit", "16MB")
	text := problemText(t, err)
	require.Contains(t, text, `--caller-address: "localhost:80" is not an IP number with a port`)
	require.Contains(t, text, `BALSAMVALVE_POLL_INTERVAL: "9s" is not between 10ms and 2s`)
	require.Contains(t, text, `--body-limit: "16MB" is not a size in bytes`)
}

func TestKeysComeFromTheEnvironment(t *testing.T) {
	serve, err := load(t, map[string]string{"BALSAMVALVE_KEYS": "piran caller piran-caller-key"})
	require.NoError(t, err)
	require.Equal(t, 1, serve.Ring().Len())
}

func TestKeysHaveNoFlag(t *testing.T) {
	flags := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	AddFlags(flags)
	require.Nil(t, flags.Lookup("keys"))
}

func TestBadKeysFileIsNamedWithoutTheKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, os.WriteFile(path, []byte("piran boss secret-secret\n"), 0o600))
	_, err := load(t, nil, "--keys-file", path)
	text := problemText(t, err)
	require.Contains(t, text, "--keys-file")
	require.Contains(t, text, "line 1")
	require.NotContains(t, text, "secret-secret")
}

func TestCertificateWithoutItsKeyIsABadSetting(t *testing.T) {
	_, err := load(t, nil, "--peer-tls-cert", "cert.pem")
	require.Contains(t, problemText(t, err), "--peer-tls-cert")
}

func TestTwoListenersOnOneAddressAreABadSetting(t *testing.T) {
	_, err := load(t, nil, "--peer-address", "127.0.0.1:8080")
	require.Contains(t, problemText(t, err), "is the address of --caller-address too")
}

func TestPlainListenersBeyondLoopbackGiveAWarning(t *testing.T) {
	serve, err := load(t, nil, "--peer-address", "10.0.0.7:8081")
	require.NoError(t, err)
	require.Contains(t, strings.Join(serve.Warnings(), "\n"), "gRPC is plain")
}

// Guards against TLS between hosts that accepts any client.
func TestPeerCertificateWithoutAuthorityIsNamed(t *testing.T) {
	_, err := load(t, nil, "--peer-tls-cert", "c.pem", "--peer-tls-key", "k.pem")
	require.Contains(t, problemText(t, err), "needs --peer-tls-ca beside it")
}
