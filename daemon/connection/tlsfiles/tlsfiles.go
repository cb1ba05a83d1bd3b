// Package tlsfiles builds TLS configurations from certificate files.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned for files that are missing, unreadable or invalid.
var ErrInvalid = errors.New("invalid TLS files")

// Files holds the paths of PEM files. The zero value means no TLS.
type Files struct {
	// CertFile and KeyFile hold this side's certificate and private key. Either
	// both are set or neither.
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	// CAFile holds the certificate authorities (CAs) that must have issued the
	// other side's certificate. A listener with a CAFile requires a certificate
	// from every client; a dialler without one trusts the system's CAs.
	CAFile string `toml:"ca_file"`
}

// Enabled reports whether any file is set.
func (f Files) Enabled() bool { return f != Files{} }

// Server returns the TLS configuration of a listener, or nil if no file is set. Errors
// are ErrInvalid.
func (f Files) Server() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	if f.CertFile == "" {
		return nil, errors.Wrap(ErrInvalid, "a listener needs cert_file and key_file")
	}
	config, err := f.baseConfig()
	if err != nil {
		return nil, err
	}
	if f.CAFile != "" {
		if config.ClientCAs, err = f.caPool(); err != nil {
			return nil, err
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// Client returns the TLS configuration of a dialler, or nil if no file is set. Errors
// are ErrInvalid.
func (f Files) Client() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	config, err := f.baseConfig()
	if err != nil {
		return nil, err
	}
	if f.CAFile != "" {
		if config.RootCAs, err = f.caPool(); err != nil {
			return nil, err
		}
	}
	return config, nil
}

// baseConfig returns a TLS configuration with this side's certificate, if it is set.
func (f Files) baseConfig() (*tls.Config, error) {
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

// caPool returns the certificate authorities in CAFile.
func (f Files) caPool() (*x509.CertPool, error) {
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "ca_file"), ErrInvalid)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Wrapf(ErrInvalid, "ca_file %s holds no certificate", f.CAFile)
	}
	return pool, nil
}
