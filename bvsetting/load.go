package bvsetting

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/pflag"

	"balsamvalve.example/bvkey"
)

// keysEnvironmentName is the variable that holds the keys. It has no flag: every user
// of a host can read the arguments of its processes.
const keysEnvironmentName = environmentPrefix + "KEYS"

// sourceDefault is the source of a setting that neither a flag nor the environment sets.
const sourceDefault = "default"

// Problem is one invalid setting.
type Problem struct {
	Setting string // flag or environment variable that has the value
	Value   string // empty for a secret
	Reason  string
}

// String formats the problem in a line.
func (problem Problem) String() string {
	if problem.Value == "" {
		return fmt.Sprintf("%s: %s", problem.Setting, problem.Reason)
	}
	return fmt.Sprintf("%s: %q %s", problem.Setting, problem.Value, problem.Reason)
}

// Error lists every invalid setting.
type Error struct {
	Problems []Problem
}

// Error implements error, with one line for each invalid setting.
func (err *Error) Error() string {
	lines := make([]string, len(err.Problems))
	for i, problem := range err.Problems {
		lines[i] = problem.String()
	}
	return "bad settings:\n  " + strings.Join(lines, "\n  ")
}

// AddFlags adds a flag for each setting.
func AddFlags(flags *pflag.FlagSet) {
	for _, setting := range settings {
		flags.String(setting.name, setting.defaultValue, setting.help+" ["+setting.environmentName()+"]")
	}
}

// Choices returns all values of a setting with a fixed set of values, and nil for
// other settings.
func Choices(name string) []string {
	for _, setting := range settings {
		if setting.name == name {
			return setting.choices
		}
	}
	return nil
}

// Load reads the settings from flags and environment. The error is an *Error that
// lists every invalid setting with its reason.
func Load(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) (Serve, error) {
	loader := loader{flags: flags, lookupEnv: lookupEnv}
	for _, setting := range settings {
		loader.load(setting)
	}
	loader.loadKeys()
	loader.checkTLS("caller", loader.serve.callerTLS)
	loader.checkTLS("peer", loader.serve.peerTLS)
	loader.checkTLS("platform", loader.serve.platformTLS)
	loader.checkTLSCombinations()
	loader.checkAddresses()
	if loader.serve.hostName == "" {
		loader.serve.hostName = loader.serve.peerAddress.String()
	}
	if len(loader.problems) > 0 {
		return Serve{}, &Error{Problems: loader.problems}
	}
	return loader.serve, nil
}

type loader struct {
	flags     *pflag.FlagSet
	lookupEnv func(string) (string, bool)
	serve     Serve
	problems  []Problem
}

func (loader *loader) load(setting setting) {
	text, source := loader.lookup(setting)
	if err := setting.apply(&loader.serve, text); err != nil {
		loader.addProblem(source, text, "%v", err)
	}
}

// lookup returns the text of a setting and its source: the flag if set, else the
// environment variable, else the default.
func (loader *loader) lookup(setting setting) (text, source string) {
	flag := loader.flags.Lookup(setting.name)
	if flag != nil && flag.Changed {
		return flag.Value.String(), "--" + setting.name
	}
	if text, found := loader.lookupEnv(setting.environmentName()); found {
		return text, setting.environmentName()
	}
	return setting.defaultValue, sourceDefault
}

func (loader *loader) addProblem(source, value, reason string, args ...any) {
	loader.problems = append(loader.problems, Problem{
		Setting: source,
		Value:   value,
		Reason:  fmt.Sprintf(reason, args...),
	})
}

func (loader *loader) loadKeys() {
	keys, found := loader.lookupEnv(keysEnvironmentName)
	path := loader.serve.keysFile
	if found && path != "" {
		loader.addProblem(keysEnvironmentName, "", "is set together with --keys-file; set only one of them")
		return
	}
	var err error
	source := "--keys-file"
	switch {
	case found:
		source = keysEnvironmentName
		loader.serve.ring, err = bvkey.Read(strings.NewReader(keys))
	case path != "":
		loader.serve.ring, err = bvkey.ReadFile(path)
	}
	if err != nil {
		loader.addProblem(source, path, "can't be used: %v", err)
	}
}

// checkTLS reads the files once, so that a wrong path or a key that doesn't match
// its certificate is reported at the start and not at the first handshake.
func (loader *loader) checkTLS(kind string, files TLS) {
	if (files.certificate == "") != (files.key == "") {
		loader.addProblem("--"+kind+"-tls-cert", files.certificate, "needs --%s-tls-key beside it, and the other way round", kind)
		return
	}
	if files.certificate != "" {
		if _, err := tls.LoadX509KeyPair(files.certificate, files.key); err != nil {
			loader.addProblem("--"+kind+"-tls-cert", files.certificate, "can't be used: %v", err)
		}
	}
	if files.authority == "" {
		return
	}
	content, err := os.ReadFile(files.authority)
	if err != nil {
		loader.addProblem("--"+kind+"-tls-ca", files.authority, "can't be read: %v", err)
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(content) {
		loader.addProblem("--"+kind+"-tls-ca", files.authority, "has no certificate in PEM form")
	}
}

// checkTLSCombinations rejects combinations in which a file would be ignored: a
// connection configured for TLS would use plain TCP or accept any client.
func (loader *loader) checkTLSCombinations() {
	if caller := loader.serve.callerTLS; caller.authority != "" && caller.certificate == "" {
		loader.addProblem("--caller-tls-ca", caller.authority, "needs --caller-tls-cert beside it")
	}
	if peer := loader.serve.peerTLS; (peer.certificate == "") != (peer.authority == "") {
		loader.addProblem("--peer-tls-cert", peer.certificate, "needs --peer-tls-ca beside it, and the other way round")
	}
	if platform := loader.serve.platformTLS; platform.certificate != "" && platform.authority == "" {
		loader.addProblem("--platform-tls-cert", platform.certificate, "needs --platform-tls-ca beside it")
	}
}

// checkAddresses rejects two listeners on one address; otherwise the second would fail
// only when the daemon starts.
func (loader *loader) checkAddresses() {
	seen := make(map[string]string)
	listeners := []struct{ name, address string }{
		{"--caller-address", loader.serve.callerAddress.String()},
		{"--peer-address", loader.serve.peerAddress.String()},
		{"--operator-address", loader.serve.operatorAddress.String()},
	}
	for _, listener := range listeners {
		other, found := seen[listener.address]
		if found && !strings.HasSuffix(listener.address, ":0") && listener.address != "invalid AddrPort" {
			loader.addProblem(listener.name, listener.address, "is the address of %s too", other)
		}
		seen[listener.address] = listener.name
	}
}

// Line is an effective setting, for printing.
type Line struct {
	Name   string
	Value  string
	Source string // the flag, the environment variable, or default
}

// EffectiveSettings returns the settings from flags, environment and defaults, without
// secrets.
func EffectiveSettings(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) []Line {
	loader := loader{flags: flags, lookupEnv: lookupEnv}
	lines := make([]Line, 0, len(settings))
	for _, setting := range settings {
		text, source := loader.lookup(setting)
		lines = append(lines, Line{Name: setting.name, Value: text, Source: source})
	}
	return lines
}

// Warnings returns a warning for each setting that is valid but rarely intended.
func (serve *Serve) Warnings() []string {
	var warnings []string
	if serve.Ring().Len() == 0 {
		warnings = append(warnings, "no keys: every caller and operator is refused")
	}
	if !serve.callerAddress.Addr().IsLoopback() && !serve.callerTLS.Enabled() {
		warnings = append(warnings, "callers' HTTP is plain and not on loopback: keys can be read in transit")
	}
	if !serve.peerAddress.Addr().IsLoopback() && !serve.peerTLS.Enabled() {
		warnings = append(warnings, "peers' gRPC is plain and not on loopback: anyone who reaches it can act as a host")
	}
	return warnings
}
