package bvtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// stamp tells one state of a file from another.
type stamp struct {
	modified time.Time
	size     int64
}

// reloaded is content that is read again when one of its files has changed.
// Without paths it is empty.
type reloaded[V any] struct {
	paths  []string
	read   func(paths []string) (V, error)
	stamps []stamp // at the last reading, good or not
	value  V       // of the last good reading
}

// load reads the files. They are looked at before they are read: one that
// changes in between then looks changed the next time, and is read again.
func (reloaded *reloaded[V]) load() error {
	stamps, err := stampsOf(reloaded.paths)
	if err != nil {
		return err
	}
	reloaded.stamps = stamps
	value, err := reloaded.read(reloaded.paths)
	if err != nil {
		return err
	}
	reloaded.value = value
	return nil
}

// current returns the content, read again if a file has changed. Files that
// can't be used, such as a certificate whose new key is not written yet, leave
// the last good content in force: connections would fail without need.
func (reloaded *reloaded[V]) current(log logrus.FieldLogger) V {
	if len(reloaded.paths) == 0 || !reloaded.changed() {
		return reloaded.value
	}
	if err := reloaded.load(); err != nil {
		log.WithError(err).Error("changed certificate file can't be used, the last good content stays in force")
		return reloaded.value
	}
	log.WithField("file", reloaded.paths[0]).Info("changed certificate file was read")
	return reloaded.value
}

// changed reports whether the files differ from those last read. Files that
// can't be looked at count as unchanged: they are being replaced.
func (reloaded *reloaded[V]) changed() bool {
	stamps, err := stampsOf(reloaded.paths)
	if err != nil {
		return false
	}
	for i, stamp := range stamps {
		if !stamp.modified.Equal(reloaded.stamps[i].modified) || stamp.size != reloaded.stamps[i].size {
			return true
		}
	}
	return false
}

func stampsOf(paths []string) ([]stamp, error) {
	stamps := make([]stamp, len(paths))
	for i, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func readPair(paths []string) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(paths[0], paths[1])
	if err != nil {
		return nil, fmt.Errorf("tls: %s: %w", paths[0], err)
	}
	return &pair, nil
}

// authorities are the certificates that the other side's must be signed by.
type authorities struct {
	pool *x509.CertPool
}

func readAuthorities(paths []string) (*authorities, error) {
	content, err := os.ReadFile(paths[0])
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("tls: %s has no certificate in PEM form", paths[0])
	}
	return &authorities{pool: pool}, nil
}
