package crowd

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
)

// newCertificate creates a certificate that signs itself and returns its files.
func newCertificate(t *testing.T) tlsfiles.Files {
	t.Helper()
	directory := t.TempDir()
	files := tlsfiles.Files{CertFile: filepath.Join(directory, "cert.pem"), KeyFile: filepath.Join(directory, "key.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: certificate}, files.KeyFile: {Type: "EC PRIVATE KEY", Bytes: encodedKey},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// Guards against TLS handshakes that do not end and hold all memory or descriptors of a daemon.
func TestCrowdsBeforeTheEndOfTheirHandshakes(t *testing.T) {
	for _, form := range TLSForms {
		t.Run(form.Name, func(t *testing.T) {
			p, daemon := startApp(t, newCertificate(t))
			endure(t, daemon, form, Target{Address: p.OperatorsAddress}, []ordinary{appCall(p)})
		})
	}
}
