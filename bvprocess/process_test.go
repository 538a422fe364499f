package bvprocess

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startLimit bounds the time until a process listens. Only a process that never starts
// reaches it.
const startLimit = 20 * time.Second

// dumpTime is the time allowed for a process to write its goroutine dump.
const dumpTime = 500 * time.Millisecond

// process is a child process.
type process struct {
	t         testing.TB
	name      string
	command   *exec.Cmd
	firstLine string // its first line of output
	logPath   string // path of the file with its stderr
	exited    chan error
}

// start starts the command with arguments and waits until it listens.
func start(t testing.TB, name string, environment []string, arguments ...string) *process {
	t.Helper()
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), childVariable+"=1")
	command.Env = append(command.Env, environment...)
	log, err := os.Create(filepath.Join(t.TempDir(), strings.ReplaceAll(name, "/", "-")+".log"))
	require.NoError(t, err)
	command.Stderr = log
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	process := &process{t: t, name: name, command: command, logPath: log.Name(), exited: make(chan error, 1)}
	lines := make(chan string, 1)
	go func() {
		reader := bufio.NewScanner(output)
		if reader.Scan() {
			lines <- reader.Text()
		}
		for reader.Scan() {
		}
		process.exited <- command.Wait()
	}()
	t.Cleanup(func() { process.cleanUp(log) })
	select {
	case process.firstLine = <-lines:
	case <-time.After(startLimit):
		t.Fatalf("%s did not start", name)
	}
	return process
}

// cleanUp ends the process. After a test failure it prints the log with a goroutine dump,
// which shows what the process was waiting for.
func (process *process) cleanUp(log *os.File) {
	if process.t.Failed() {
		process.signal(syscall.SIGQUIT)
		time.Sleep(dumpTime)
	}
	process.kill()
	if process.t.Failed() {
		content, _ := os.ReadFile(log.Name())
		process.t.Logf("log of %s:\n%s", process.name, content)
	}
	_ = log.Close()
}

// field returns the value of a name=value word of the first line.
func (process *process) field(name string) string {
	for _, word := range strings.Fields(process.firstLine) {
		if value, found := strings.CutPrefix(word, name+"="); found {
			return value
		}
	}
	process.t.Fatalf("%s printed no %s: %q", process.name, name, process.firstLine)
	return ""
}

// address returns the address of a stand-in.
func (process *process) address() string {
	return strings.TrimPrefix(process.firstLine, "listening ")
}

func (process *process) signal(signal syscall.Signal) {
	_ = process.command.Process.Signal(signal)
}

// freeze stops all threads of the process, which may run on for a moment after the signal.
func (process *process) freeze() {
	process.signal(syscall.SIGSTOP)
	require.Eventually(process.t, process.isFrozen, testTimeout, time.Millisecond)
}

func (process *process) isFrozen() bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", process.command.Process.Pid)) // the pattern is valid
	return len(threads) > 0 && !slices.ContainsFunc(threads, func(name string) bool {
		content, err := os.ReadFile(name)
		_, state, found := strings.Cut(string(content), ") ")
		return err == nil && (!found || !strings.HasPrefix(state, "T"))
	})
}

// kill ends the process as a power cut would.
func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	process.wait()
}

// wait returns the exit code.
func (process *process) wait() int {
	err := <-process.exited
	process.exited <- err
	return process.command.ProcessState.ExitCode()
}

func portZero() string { return "127.0.0.1:0" }

func flag(name string, value any) string { return fmt.Sprintf("--%s=%v", name, value) }
