package operations

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
)

const examples = "../../docs/examples"

func TestTheDocumentedExamplesAreValid(t *testing.T) {
	for site, counts := range map[string]string{
		"queensland": "valid: 16 client accounts, 2 pools, 12 upstreams, 3 presets",
		"sialkot":    "valid: 16 client accounts, 2 pools, 15 upstreams, 3 presets",
	} {
		b := newBench(t)
		out, _ := b.want(command.ExitOK, "config", "check", filepath.Join(examples, site))
		b.contains(out, counts)
		b.want(command.ExitOK, "config", "apply", filepath.Join(examples, site), "--expect", "0", "--preset", "ordinary")
		for _, preset := range []string{"maintenance", "ordinary"} {
			b.want(command.ExitOK, "preset", "use", preset)
		}
		loaded, err := settings.Load(filepath.Join(examples, "settings-"+site+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		out, _ = b.want(command.ExitOK, "config", "show")
		b.contains(out, string(loaded.DataCentre))
	}
}

func TestTheDocumentedSettingsOfTrefoilctlAreRead(t *testing.T) {
	b := newBench(t)
	if _, err := os.Stat(filepath.Join(examples, "trefoilctl.toml")); err != nil {
		t.Fatal(err)
	}
	// The daemons of the example do not exist: that they are asked shows that
	// the file was read.
	_, errs := b.want(command.ExitFailure, "--settings", filepath.Join(examples, "trefoilctl.toml"), "--timeout", "100ms", "status")
	b.contains(errs, "3 of 3")
	b.write("operatros = []\n")
	_, errs = b.want(command.ExitFailure, "--settings", b.path, "status")
	b.contains(errs, b.path+":1:1: unknown key")
}
