package bvcommand

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"balsamvalve.example/bvclock"
	"balsamvalve.example/bvrouter"
	"balsamvalve.example/bvsetting"
	"balsamvalve.example/platform"
)

// settingsInterval is the interval at which the settings file is polled, since it
// may change without a signal.
const settingsInterval = 2 * bvclock.Second

const (
	// settleTime is how long after a change the file may still be being written.
	settleTime = bvclock.Second
	// settleInterval is the interval at which an invalid file is read again in that time.
	settleInterval = 10 * bvclock.Millisecond
)

// settingsFile is the file with the settings of a routing daemon.
type settingsFile struct {
	path     string
	modified time.Time // when the content last read was written
	invalid  bool      // that content is invalid: it may have been read while it was written
}

// load reads the file. The modification time is read first: after a change during the read,
// the next poll reads the file again.
func (file *settingsFile) load() (bvsetting.Host, error) {
	file.modified = modTime(file.path)
	settings, err := platform.LoadSettings(file.path)
	file.invalid = err != nil
	return settings, err
}

// loadSettled reads the file at the start of the process. An invalid file that has just changed is
// read again until it is valid or has settled.
func (file *settingsFile) loadSettled() (bvsetting.Host, error) {
	for waited := bvclock.Duration(0); ; waited += settleInterval {
		settings, err := file.load()
		if err == nil || waited >= settleTime || time.Since(file.modified) >= settleTime.Std() {
			return settings, err
		}
		bvclock.Sleep(settleInterval)
	}
}

// follow reloads the settings when the file changes or SIGHUP arrives, until ctx ends: also
// while the daemon stops. Invalid settings are logged, and those in force stay.
func (file *settingsFile) follow(ctx context.Context, hangups <-chan os.Signal, router *bvrouter.Router, log logrus.FieldLogger) {
	for {
		again := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-bvclock.After(settingsInterval):
			if again = modTime(file.path).Equal(file.modified); again && !file.invalid {
				continue
			}
		}
		settings, err := file.load()
		switch {
		case err == nil:
			router.Reload(settings)
		case !again:
			log.WithError(err).Error("settings not taken over")
		}
	}
}

// modTime returns the modification time of a file. It is zero if the file can't be
// examined; the error shows when the file is read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
