package bvsetting

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:\[\]-]*$`)

func parseName(text string) (string, error) {
	if text != "" && !namePattern.MatchString(text) {
		return "", fmt.Errorf("may have letters, digits, dots, colons, underscores and hyphens only")
	}
	return text, nil
}

func parsePath(text string) (string, error) {
	return text, nil
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, fmt.Errorf("is not an IP number with a port, such as 127.0.0.1:8080")
	}
	return address, nil
}

func parseDuration(minimum, maximum bvclock.Duration) func(string) (bvclock.Duration, error) {
	return func(text string) (bvclock.Duration, error) {
		std, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("is not a duration with a unit, such as 500ms, 15s or 2m")
		}
		duration := bvclock.FromStd(std)
		if duration < minimum || duration > maximum {
			return 0, fmt.Errorf("is not between %v and %v", minimum.Std(), maximum.Std())
		}
		return duration, nil
	}
}

func parseCount(minimum, maximum int) func(string) (int, error) {
	return func(text string) (int, error) {
		count, err := strconv.Atoi(text)
		if err != nil {
			return 0, fmt.Errorf("is not a whole number")
		}
		if count < minimum || count > maximum {
			return 0, fmt.Errorf("is not between %d and %d", minimum, maximum)
		}
		return count, nil
	}
}

// byteUnits is ordered so that a suffix is tried only after the longer ones that end with it.
var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

func parseBytes(minimum, maximum int64) func(string) (int64, error) {
	return func(text string) (int64, error) {
		for _, unit := range byteUnits {
			digits, found := strings.CutSuffix(text, unit.suffix)
			if !found {
				continue
			}
			count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
			if err != nil {
				break
			}
			if count < (minimum+unit.factor-1)/unit.factor || count > maximum/unit.factor {
				return 0, fmt.Errorf("is not between %d and %d bytes", minimum, maximum)
			}
			return count * unit.factor, nil
		}
		return 0, fmt.Errorf("is not a size in bytes, such as 65536, 64KiB or 16MiB")
	}
}

func parseLogLevel(text string) (logrus.Level, error) {
	level, err := logrus.ParseLevel(text)
	if err != nil {
		return level, fmt.Errorf("is none of error, warn, info, debug, trace")
	}
	return level, nil
}

func parseEnum[E fmt.Stringer](choices ...E) func(string) (E, error) {
	return func(text string) (E, error) {
		var names []string
		for _, choice := range choices {
			if choice.String() == text {
				return choice, nil
			}
			names = append(names, choice.String())
		}
		var none E
		return none, fmt.Errorf("is none of %s", strings.Join(names, ", "))
	}
}
