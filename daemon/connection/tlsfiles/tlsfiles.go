// Package tlsfiles builds TLS settings from certificate files.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned for files that cannot be used.
var ErrInvalid = errors.New("invalid TLS files")

// Files name PEM files. The zero value means no TLS.
type Files struct {
	// CertFile and KeyFile are this side's certificate and key; both or none.
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	// CAFile holds the authorities that the other side's certificate must come
	// from. A listener with a CAFile demands a certificate of each client; a
	// dialler without one uses the system's authorities.
	CAFile string `toml:"ca_file"`
}

// Enabled reports whether any file is named.
func (f Files) Enabled() bool { return f != Files{} }

// Server returns the settings of a listener, or nil without files.
func (f Files) Server() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	if f.CertFile == "" {
		return nil, errors.Wrap(ErrInvalid, "a listener needs cert_file and key_file")
	}
	config, err := f.base()
	if err != nil {
		return nil, err
	}
	if f.CAFile != "" {
		if config.ClientCAs, err = f.authorities(); err != nil {
			return nil, err
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// Client returns the settings of a dialler, or nil without files.
func (f Files) Client() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	config, err := f.base()
	if err != nil {
		return nil, err
	}
	if f.CAFile != "" {
		if config.RootCAs, err = f.authorities(); err != nil {
			return nil, err
		}
	}
	return config, nil
}

// base returns settings with this side's certificate, if there is one.
func (f Files) base() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if (f.CertFile == "") != (f.KeyFile == "") {
		return nil, errors.Wrap(ErrInvalid, "cert_file and key_file go together")
	}
	if f.CertFile == "" {
		return config, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "certificate"), ErrInvalid)
	}
	config.Certificates = []tls.Certificate{certificate}
	return config, nil
}

func (f Files) authorities() (*x509.CertPool, error) {
	text, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "ca_file"), ErrInvalid)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Wrapf(ErrInvalid, "ca_file %s holds no certificate", f.CAFile)
	}
	return pool, nil
}
