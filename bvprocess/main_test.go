package bvprocess

import (
	"os"
	"testing"

	"balsamvalve.example/bvcommand"
)

// childVariable is the environment variable that makes the test binary run as the command.
const childVariable = "BALSAMVALVE_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(bvcommand.Execute(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}
