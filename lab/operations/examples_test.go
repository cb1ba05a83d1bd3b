package operations

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
)

const examples = "../../docs/examples"

// Guards against documented configurations and settings that the commands or the daemons
// don't accept.
func TestDocumentedExamplesAreValid(t *testing.T) {
	for site, counts := range map[string]string{
		"queensland": "valid: 16 client accounts, 2 pools, 12 upstreams, 3 presets",
		"sialkot":    "valid: 16 client accounts, 2 pools, 15 upstreams, 3 presets",
	} {
		env := newEnvironment(t)
		out, _ := env.expectExit(command.ExitOK, "config", "check", filepath.Join(examples, site))
		env.checkContains(out, counts)
		env.expectExit(command.ExitOK, "config", "apply", filepath.Join(examples, site), "--expect", "0", "--preset", "ordinary")
		for _, preset := range []string{"maintenance", "ordinary"} {
			env.expectExit(command.ExitOK, "preset", "use", preset)
		}
		loaded, err := settings.Load(filepath.Join(examples, "settings-"+site+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		out, _ = env.expectExit(command.ExitOK, "config", "show")
		env.checkContains(out, string(loaded.DataCentre))
	}
}

// Guards against a documented settings file that trefoilctl doesn't accept, and against
// misspelt keys that it ignores.
func TestDocumentedTrefoilctlSettingsAreRead(t *testing.T) {
	env := newEnvironment(t)
	if _, err := os.Stat(filepath.Join(examples, "trefoilctl.toml")); err != nil {
		t.Fatal(err)
	}
	// The daemons of the example do not exist. The error that counts them shows
	// that the file was read.
	_, errs := env.expectExit(command.ExitFailure, "--settings", filepath.Join(examples, "trefoilctl.toml"), "--timeout", "100ms", "status")
	env.checkContains(errs, "3 of 3")
	env.write("operatros = []\n")
	_, errs = env.expectExit(command.ExitFailure, "--settings", env.path, "status")
	env.checkContains(errs, env.path+":1:1: unknown key")
}
