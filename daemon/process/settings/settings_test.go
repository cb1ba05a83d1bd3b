package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
)

// minimal has only the required settings.
const minimal = `vm = "vm-1"
datacentre = "north"
[peers]
secret = "fleet-secret"
[operators]
token = "operators-token"
[platform]
url = "https://platform.example/api"
`

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

func TestUnsetSettingsHaveDefaults(t *testing.T) {
	s, err := load(t, minimal)
	if err != nil {
		t.Fatal(err)
	}
	if s.Callers.Listen != ":8080" || s.Platform.CallsPerSecond != objectstore.DefaultCallsPerSecond || s.Callers.DrainGraceMS != defaultDrainGraceMS {
		t.Errorf("settings %+v, want the defaults", s)
	}
}

func TestEveryProblemNamesItsPosition(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", strings.Replace(minimal, "secret", "secrte", 1), `s.toml:4:1: unknown key "peers.secrte"`},
		{"syntax", minimal + "[x\n", "s.toml:9:"},
		{"name", strings.Replace(minimal, "vm-1", "vm 1", 1), "s.toml:1:1: vm"},
		{"missing", strings.Replace(minimal, `token = "operators-token"`, "", 1), "s.toml:5:2: operators.token is required"},
		{"blank in a secret", strings.Replace(minimal, "fleet-secret", "a b", 1), "s.toml:4:1: peers.secret may hold"},
		{"url", strings.Replace(minimal, "https://platform.example/api", "platform:80", 1), "s.toml:8:1: platform.url"},
		{"rate", minimal + "calls_per_second = 0\n", "s.toml:9:1: platform.calls_per_second must be from 1 to 10000"},
		{"rate no number", minimal + "calls_per_second = nan\n", "s.toml:9:1: platform.calls_per_second"},
		{"burst", minimal + "calls_burst = -1\n", "s.toml:9:1: platform.calls_burst"},
		{"memory", minimal + "[limits]\nmemory_mb = -1\n", "s.toml:10:1: limits.memory_mb must be from 0 to 1048576"},
		{"descriptors", minimal + "[limits]\nmax_fds = -1\n", "s.toml:10:1: limits.max_fds"},
		{"grace", minimal + "[callers]\ndrain_grace_ms = 700000\n", "s.toml:10:1: callers.drain_grace_ms"},
		{"listen", minimal + "[callers]\nlisten = \"8080\"\n", "s.toml:10:1: callers.listen"},
		{"same address", minimal + "[callers]\nlisten = \":7070\"\n", "peers.listen is the address of callers.listen"},
		{"no certificate", minimal + "[callers.tls]\ncert_file = \"absent.pem\"\nkey_file = \"absent.pem\"\n", "s.toml:9:2: callers.tls"},
		{"key alone", minimal + "[platform.tls]\nkey_file = \"k.pem\"\n", "cert_file and key_file go together"},
		{"tls without https", minimal + "[upstreams.tls]\nca_file = \"absent.pem\"\n", "upstreams.tls needs https = true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := load(t, c.text)
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error %v, want ErrInvalid", err)
			}
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v\nwant %s", err, c.want)
			}
			if strings.Contains(err.Error(), "a b") && c.name == "blank in a secret" {
				t.Error("the error contains the secret")
			}
		})
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	_, err := load(t, "vm = \"\"\n[callers]\nlisten = \"x\"\n")
	if err == nil || strings.Count(err.Error(), "s.toml") < 5 {
		t.Errorf("error %v, want at least 5 problems", err)
	}
}
