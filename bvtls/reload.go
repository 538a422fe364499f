package bvtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// fileStamp identifies a version of a file by its modification time and size.
type fileStamp struct {
	modified time.Time
	size     int64
}

// reloadable is content that is read again when one of its files has changed.
// Without paths it is empty.
type reloadable[V any] struct {
	paths  []string
	read   func(paths []string) (V, error)
	stamps []fileStamp // at the last read, successful or not
	value  V           // of the last successful read
}

// load reads the files. It reads the stamps before the content, so that a file that
// changes in between counts as changed the next time and is read again.
func (reloadable *reloadable[V]) load() error {
	stamps, err := readStamps(reloadable.paths)
	if err != nil {
		return err
	}
	reloadable.stamps = stamps
	value, err := reloadable.read(reloadable.paths)
	if err != nil {
		return err
	}
	reloadable.value = value
	return nil
}

// current returns the content, read again if a file has changed. If the new files
// can't be used, such as a certificate whose new key is not written yet, the last
// valid content stays in force, so that connections don't fail needlessly.
func (reloadable *reloadable[V]) current(log logrus.FieldLogger) V {
	if len(reloadable.paths) == 0 || !reloadable.hasChanged() {
		return reloadable.value
	}
	if err := reloadable.load(); err != nil {
		log.WithError(err).Error("changed certificate file can't be used, the last good content stays in force")
		return reloadable.value
	}
	log.WithField("file", reloadable.paths[0]).Info("changed certificate file was read")
	return reloadable.value
}

// hasChanged reports whether the files differ from those last read. If a stamp can't
// be read, the files count as unchanged, because they are probably being replaced.
func (reloadable *reloadable[V]) hasChanged() bool {
	stamps, err := readStamps(reloadable.paths)
	if err != nil {
		return false
	}
	for i, stamp := range stamps {
		if !stamp.modified.Equal(reloadable.stamps[i].modified) || stamp.size != reloadable.stamps[i].size {
			return true
		}
	}
	return false
}

func readStamps(paths []string) ([]fileStamp, error) {
	stamps := make([]fileStamp, len(paths))
	for i, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func readKeyPair(paths []string) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(paths[0], paths[1])
	if err != nil {
		return nil, fmt.Errorf("tls: %s: %w", paths[0], err)
	}
	return &pair, nil
}

// authorityPool holds the CA certificates that verify the other side's certificate.
type authorityPool struct {
	pool *x509.CertPool
}

func readAuthorityPool(paths []string) (*authorityPool, error) {
	content, err := os.ReadFile(paths[0])
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("tls: %s has no certificate in PEM form", paths[0])
	}
	return &authorityPool{pool: pool}, nil
}
