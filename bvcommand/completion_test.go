package bvcommand

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
)

// eachCommand visits all commands except those that cobra adds.
func eachCommand(command *cobra.Command, visit func(*cobra.Command)) {
	visit(command)
	for _, child := range command.Commands() {
		eachCommand(child, visit)
	}
}

func TestEachCommandHasValidExamples(t *testing.T) {
	eachCommand(newRoot(), func(command *cobra.Command) {
		require.NotEmpty(t, command.Example, command.CommandPath())
		text := strings.ReplaceAll(command.Example, "\\\n", " ")
		for line := range strings.Lines(text) {
			_, arguments, found := strings.Cut(line, "balsamvalve ")
			if !found || strings.HasPrefix(arguments, "completion") {
				continue
			}
			arguments, _, _ = strings.Cut(arguments, ">")
			named, rest, err := newRoot().Find(strings.Fields(arguments))
			require.NoError(t, err, line)
			if strings.Contains(arguments, "--help") {
				continue
			}
			require.NoError(t, named.ParseFlags(rest), line)
			if strings.Contains(arguments, `"`) {
				continue // a shell would remove the quotes
			}
			require.NoError(t, named.ValidateArgs(named.Flags().Args()), line)
		}
	})
}

func TestCompletionScriptsAreWritten(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		code, stdout, stderr := run("completion", shell)
		require.Zero(t, code, stderr)
		require.Contains(t, stdout, "balsamvalve")
	}
}

func TestShellCompletesTheValuesOfASetting(t *testing.T) {
	code, stdout, stderr := run("__complete", "serve", "--trace-exporter", "")
	require.Zero(t, code, stderr)
	require.Equal(t, []string{"off", "stdout", "otlp", ":4"}, strings.Fields(stdout))
}

func TestShellCompletesTheColumnsThatAreNotGivenYet(t *testing.T) {
	_, stdout, _ := run("__complete", "table", "set", "piran", "budget=1", "")
	require.Contains(t, stdout, "turns=")
	require.NotContains(t, stdout, "budget=")
	require.NotContains(t, stdout, "share=", "shares are proposed, not set")
}
