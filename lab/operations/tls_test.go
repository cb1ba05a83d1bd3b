package operations

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/lab/engine"
)

// newCertificates creates a certificate authority and a certificate for 127.0.0.1
// that it signed, and returns their files.
func newCertificates(t *testing.T) tlsfiles.Files {
	t.Helper()
	directory := t.TempDir()
	files := tlsfiles.Files{
		CertFile: filepath.Join(directory, "cert.pem"),
		KeyFile:  filepath.Join(directory, "key.pem"),
		CAFile:   filepath.Join(directory, "ca.pem"),
	}
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	authorityKey := newKey(t)
	writePEM(t, files.CAFile, "CERTIFICATE", sign(t, authority, authority, authorityKey, authorityKey))
	certificate := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificateKey := newKey(t)
	writePEM(t, files.CertFile, "CERTIFICATE", sign(t, certificate, authority, certificateKey, authorityKey))
	encoded, err := x509.MarshalECPrivateKey(certificateKey)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, files.KeyFile, "EC PRIVATE KEY", encoded)
	return files
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// sign returns a certificate in DER, signed with the parent's key.
func sign(t *testing.T, certificate, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) []byte {
	t.Helper()
	signed, err := x509.CreateCertificate(rand.Reader, certificate, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	return signed
}

// writePEM writes a PEM block of a type to a file.
func writePEM(t *testing.T, path, kind string, data []byte) {
	t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// serveTLS serves a handler over TLS on loopback and returns its host:port.
func serveTLS(t *testing.T, handler http.Handler, config *tls.Config) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.TLS = config
	server.StartTLS()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// Guards against a connection of the fleet that can't use TLS, and against listeners for
// operators that accept clients without a certificate of the fleet's authority.
func TestAllConnectionsUseTLS(t *testing.T) {
	files := newCertificates(t)
	mutual, err := files.Server()
	if err != nil {
		t.Fatal(err)
	}
	serverOnly, err := tlsfiles.Files{CertFile: files.CertFile, KeyFile: files.KeyFile}.Server()
	if err != nil {
		t.Fatal(err)
	}
	env := newEnvironment(t)
	env.url = "https://" + serveTLS(t, env.store, mutual)
	env.globalFlags = []string{"--ca-file", files.CAFile, "--cert-file", files.CertFile, "--key-file", files.KeyFile, "--operator-tls"}
	engineAddress := serveTLS(t, engine.New(engine.Options{Name: "north-1"}), serverOnly)
	env.write(strings.Replace(configuration, "127.0.0.1:1", engineAddress, 1))
	env.expectExit(command.ExitOK, "config", "apply", env.path, "--expect", "0")
	out, _ := env.expectExit(command.ExitOK, "account", "add", "crews")
	key := strings.Fields(strings.TrimPrefix(out, "API key (shown once): "))[0]
	env.change = func(s *settings.Settings) {
		s.Callers.TLS = tlsfiles.Files{CertFile: files.CertFile, KeyFile: files.KeyFile}
		s.Peers.TLS, s.Operators.TLS, s.Platform.TLS = files, files, files
		s.Upstreams = settings.Upstreams{HTTPS: true, TLS: tlsfiles.Files{CAFile: files.CAFile}}
	}
	env.startDaemons("north", "north")
	env.waitUntil("the daemons are ready and linked over TLS", func(s operator.Status) bool {
		return s.Ready && s.Configuration.Number == 2 && len(s.Members) == 1
	})

	client := func(f tlsfiles.Files) *http.Client {
		config, err := f.Client()
		if err != nil {
			t.Fatal(err)
		}
		return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+env.callers[0]+"/v1/chat/completions",
		strings.NewReader(`{"model":"polish-7b","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client(tlsfiles.Files{CAFile: files.CAFile}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if answer, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("status %d, error %v, body %s; want 200", response.StatusCode, err, answer)
	}
	// A client without a certificate and one with a certificate of another authority
	// are rejected.
	for _, f := range []tlsfiles.Files{{CAFile: files.CAFile}, newCertificates(t)} {
		answer, err := client(f).Get("https://" + env.operators[0] + operator.PathStatus)
		if err == nil {
			answer.Body.Close()
			t.Errorf("a client without the right certificate got status %d", answer.StatusCode)
		}
	}
}

// Guards against a listener that starts with an incomplete or wrong set of TLS files, and so
// without the protection that was configured.
func TestUnusableTLSFilesAreRefused(t *testing.T) {
	files := newCertificates(t)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, f := range []tlsfiles.Files{
		{CertFile: files.CertFile},
		{KeyFile: files.KeyFile},
		{CAFile: files.CAFile},
		{CertFile: files.KeyFile, KeyFile: files.CertFile},
		{CertFile: files.CertFile, KeyFile: files.KeyFile, CAFile: empty},
	} {
		if _, err := f.Server(); err == nil {
			t.Errorf("%+v was accepted for a listener, want an error", f)
		}
	}
}
