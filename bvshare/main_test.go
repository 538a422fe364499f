package bvshare

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that each run has the same result; -rapid.seed tests others.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20263", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		setUnlessGiven(name, value)
	}
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) {
	given := false
	flag.Visit(func(set *flag.Flag) { given = given || set.Name == name })
	if !given {
		_ = flag.Set(name, value) // the name and the value are valid
	}
}
