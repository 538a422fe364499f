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

// keysEnvironment holds the keys themselves. It has no flag: the arguments of
// a process can be read by everybody on the machine.
const keysEnvironment = environmentPrefix + "KEYS"

// sourceDefault stands for a setting that nobody gave.
const sourceDefault = "default"

// Problem is one bad setting.
type Problem struct {
	Setting string // flag or environment variable that gave the value
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

// Error lists every bad setting.
type Error struct {
	Problems []Problem
}

// Error implements error, a line a bad setting.
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
		flags.String(setting.name, setting.initial, setting.help+" ["+setting.environment()+"]")
	}
}

// Choices returns all values of a setting that has few, and nothing for
// others.
func Choices(name string) []string {
	for _, setting := range settings {
		if setting.name == name {
			return setting.choices
		}
	}
	return nil
}

// Load returns the settings that flags and environment give. The error is an
// *Error that lists every bad setting with its reason.
func Load(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) (Serve, error) {
	loader := loader{flags: flags, lookupEnv: lookupEnv}
	for _, setting := range settings {
		loader.load(setting)
	}
	loader.loadKeys()
	loader.checkTLS("caller", loader.serve.callerTLS)
	loader.checkTLS("peer", loader.serve.peerTLS)
	loader.checkTLS("platform", loader.serve.platformTLS)
	loader.checkTLSWhole()
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
	text, source := loader.find(setting)
	if err := setting.apply(&loader.serve, text); err != nil {
		loader.report(source, text, "%v", err)
	}
}

// find returns the text of a setting and what gave it: the flag, else the
// environment, else the default.
func (loader *loader) find(setting setting) (text, source string) {
	flag := loader.flags.Lookup(setting.name)
	if flag != nil && flag.Changed {
		return flag.Value.String(), "--" + setting.name
	}
	if text, found := loader.lookupEnv(setting.environment()); found {
		return text, setting.environment()
	}
	return setting.initial, sourceDefault
}

func (loader *loader) report(source, value, reason string, args ...any) {
	loader.problems = append(loader.problems, Problem{
		Setting: source,
		Value:   value,
		Reason:  fmt.Sprintf(reason, args...),
	})
}

func (loader *loader) loadKeys() {
	keys, found := loader.lookupEnv(keysEnvironment)
	path := loader.serve.keysFile
	if found && path != "" {
		loader.report(keysEnvironment, "", "is set beside --keys-file; give one of the two")
		return
	}
	var err error
	source := "--keys-file"
	switch {
	case found:
		source = keysEnvironment
		loader.serve.ring, err = bvkey.Read(strings.NewReader(keys))
	case path != "":
		loader.serve.ring, err = bvkey.ReadFile(path)
	}
	if err != nil {
		loader.report(source, path, "can't be used: %v", err)
	}
}

// checkTLS reads the files once, so that a wrong path or a key of another
// certificate shows before the first handshake.
func (loader *loader) checkTLS(kind string, files TLS) {
	if (files.certificate == "") != (files.key == "") {
		loader.report("--"+kind+"-tls-cert", files.certificate, "needs --%s-tls-key beside it, and the other way round", kind)
		return
	}
	if files.certificate != "" {
		if _, err := tls.LoadX509KeyPair(files.certificate, files.key); err != nil {
			loader.report("--"+kind+"-tls-cert", files.certificate, "can't be used: %v", err)
		}
	}
	if files.authority == "" {
		return
	}
	content, err := os.ReadFile(files.authority)
	if err != nil {
		loader.report("--"+kind+"-tls-ca", files.authority, "can't be read: %v", err)
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(content) {
		loader.report("--"+kind+"-tls-ca", files.authority, "has no certificate in PEM form")
	}
}

// checkTLSWhole finds files that would be ignored: what looks like TLS would
// be plain, or let anybody in.
func (loader *loader) checkTLSWhole() {
	if caller := loader.serve.callerTLS; caller.authority != "" && caller.certificate == "" {
		loader.report("--caller-tls-ca", caller.authority, "needs --caller-tls-cert beside it")
	}
	if peer := loader.serve.peerTLS; (peer.certificate == "") != (peer.authority == "") {
		loader.report("--peer-tls-cert", peer.certificate, "needs --peer-tls-ca beside it, and the other way round")
	}
	if platform := loader.serve.platformTLS; platform.certificate != "" && platform.authority == "" {
		loader.report("--platform-tls-cert", platform.certificate, "needs --platform-tls-ca beside it")
	}
}

// checkAddresses finds two listeners on one address; the second would fail
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
			loader.report(listener.name, listener.address, "is the address of %s too", other)
		}
		seen[listener.address] = listener.name
	}
}

// Line is a setting in force, for printing.
type Line struct {
	Name   string
	Value  string
	Source string // the flag, the environment variable, or default
}

// EffectiveSettings returns the settings as flags and environment give them, without
// secrets.
func EffectiveSettings(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) []Line {
	loader := loader{flags: flags, lookupEnv: lookupEnv}
	lines := make([]Line, 0, len(settings))
	for _, setting := range settings {
		text, source := loader.find(setting)
		lines = append(lines, Line{Name: setting.name, Value: text, Source: source})
	}
	return lines
}

// Warnings returns what is allowed but seldom meant.
func (serve *Serve) Warnings() []string {
	var warnings []string
	if serve.Ring().Len() == 0 {
		warnings = append(warnings, "no keys: every caller and operator is refused")
	}
	if !serve.callerAddress.Addr().IsLoopback() && !serve.callerTLS.Enabled() {
		warnings = append(warnings, "callers' HTTP is plain and not on loopback: keys can be read on the way")
	}
	if !serve.peerAddress.Addr().IsLoopback() && !serve.peerTLS.Enabled() {
		warnings = append(warnings, "peers' gRPC is plain and not on loopback: anyone who reaches it can act as a host")
	}
	return warnings
}
