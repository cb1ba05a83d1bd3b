package command

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/source"
)

// pathArgument is the path of a configuration file or of a directory of *.toml files.
type pathArgument struct {
	Path string `positional-arg-name:"PATH" required:"yes" description:"configuration file, or a directory of *.toml files"`
}

// load reads and validates the configuration at the path.
func (p pathArgument) load() (*version.Document, error) {
	paths := []string{p.Path}
	info, err := os.Stat(p.Path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	if info.IsDir() {
		if paths, err = filepath.Glob(filepath.Join(p.Path, "*.toml")); err != nil || len(paths) == 0 {
			return nil, errors.Newf("no *.toml file in %s", p.Path)
		}
		slices.Sort(paths)
	}
	var files []source.File
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read configuration")
		}
		if len(text) > source.MaxFileBytes {
			return nil, errors.Newf("%s has more than %d bytes", path, source.MaxFileBytes)
		}
		files = append(files, source.File{Name: path, Text: text})
	}
	return source.Parse(files)
}

// configCheck implements `config check`.
type configCheck struct {
	*session `no-flag:"true"`
	Args     pathArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	document, err := c.Args.load()
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "valid: %d client accounts, %d pools, %d upstreams, %d presets\n",
		len(document.Accounts), len(document.Pools), len(document.Upstreams), len(document.Presets))
	return nil
}

// configDiff implements `config diff`.
type configDiff struct {
	*session `no-flag:"true"`
	Args     pathArgument `positional-args:"yes" required:"yes"`
}

// diffResult is the output of `config diff --json`.
type diffResult struct {
	// Version is the configuration version that the files were compared with.
	Version version.Number `json:"version"`
	Changes []difference   `json:"changes"`
}

// Execute implements flags.Commander.
func (c *configDiff) Execute([]string) error {
	document, err := c.Args.load()
	if err != nil {
		return err
	}
	state, err := c.readConfig()
	if err != nil && !errors.Is(err, change.ErrNoConfiguration) {
		return err
	}
	changes := differences(state.Document, document)
	if c.JSON {
		return c.printJSON(diffResult{Version: state.Head.Number, Changes: changes})
	}
	for _, d := range changes {
		fmt.Fprintln(c.stdout, d)
	}
	fmt.Fprintf(c.stdout, "%d changes against version %d; put them in force with --expect %d\n",
		len(changes), state.Head.Number, state.Head.Number)
	return nil
}

// readConfig returns the configuration stored in the platform.
func (s *session) readConfig() (change.State, error) {
	changer, err := s.newChanger()
	if err != nil {
		return change.State{}, err
	}
	ctx, cancel := s.commandContext()
	defer cancel()
	return changer.Read(ctx)
}

// changeConfig makes one change of the configuration in the platform. After every
// change.VersionsPerSweep versions it also removes unused parts of earlier configurations.
func (s *session) changeConfig(edit func(*change.State) error) (version.Head, error) {
	changer, err := s.newChanger()
	if err != nil {
		return version.Head{}, err
	}
	ctx, cancel := s.commandContext()
	defer cancel()
	head, err := changer.Change(ctx, edit)
	if err == nil && head.Number%change.VersionsPerSweep == 0 {
		if _, err := changer.Sweep(ctx); err != nil {
			s.warn("unused parts were not removed: %v; the next sweep will try again", err)
		}
	}
	return head, err
}

// configApply implements `config apply`.
type configApply struct {
	*session `no-flag:"true"`
	Args     pathArgument `positional-args:"yes" required:"yes"`
	Expect   uint64       `long:"expect" required:"yes" description:"version that the files were compared with (see config diff); 0 if there is none yet"`
	Above    uint64       `long:"above" description:"let the new version be higher than this one, where the platform has lost a configuration that daemons hold"`
	Preset   string       `long:"preset" description:"preset to put in force; default the present one"`
}

// Execute implements flags.Commander.
func (c *configApply) Execute([]string) error {
	document, err := c.Args.load()
	if err != nil {
		return err
	}
	head, err := c.changeConfig(func(state *change.State) error {
		if err := state.ExpectNumber(version.Number(c.Expect)); err != nil {
			return err
		}
		state.Document = document
		state.Head.Number = max(state.Head.Number, version.Number(c.Above))
		switch {
		case c.Preset != "":
			state.Head.Preset = c.Preset
		case state.Head.Preset == "":
			state.Head.Preset = document.Presets[0].Name
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.confirm(head, "")
}

// configShow implements `config show`.
type configShow struct {
	*session `no-flag:"true"`
}

// configOutput is the output of `config show --json`.
type configOutput struct {
	Head     version.Head    `json:"head"`
	Document json.RawMessage `json:"document"`
}

// Execute implements flags.Commander.
func (c *configShow) Execute([]string) error {
	state, err := c.readConfig()
	if err != nil {
		return err
	}
	text, err := toml.Marshal(state.Document)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	if !c.JSON {
		fmt.Fprintf(c.stdout, "# version %d, preset %s in force\n", state.Head.Number, state.Head.Preset)
		fmt.Fprintf(c.stdout, "# out of service: %s\n%s", orDash(outOfServiceText(state.Head.Out)), text)
		return nil
	}
	document, err := tomlToJSON(text)
	if err != nil {
		return err
	}
	return c.printJSON(configOutput{Head: state.Head, Document: document})
}

// tomlToJSON converts TOML text to JSON with the same keys.
func tomlToJSON(text []byte) (json.RawMessage, error) {
	var tree any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	encoded, err := json.Marshal(tree)
	return encoded, errors.Wrap(err, "encode configuration")
}
