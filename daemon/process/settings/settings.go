// Package settings reads a daemon's settings file.
package settings

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// ErrInvalid is returned for a settings file that cannot be used.
var ErrInvalid = errors.New("invalid settings")

// Settings are what one daemon needs to know of its own place.
type Settings struct {
	// VM is this VM's unique name.
	VM version.VMID `toml:"vm"`
	// DataCentre is the data centre that this VM stands in.
	DataCentre version.DataCentreID `toml:"datacentre"`
	Callers    Callers              `toml:"callers"`
	Peers      Peers                `toml:"peers"`
	Operators  Operators            `toml:"operators"`
	Platform   Platform             `toml:"platform"`
}

// Callers set up the callers' listener.
type Callers struct {
	// Listen is host:port; default ":8080".
	Listen string `toml:"listen"`
	// DrainGraceMS is how long, in milliseconds, a daemon that shuts down
	// still takes requests, so that the balancer notices; default 5000.
	DrainGraceMS int `toml:"drain_grace_ms"`
}

// Peers set up the links between daemons.
type Peers struct {
	// Listen is host:port; default ":7070".
	Listen string `toml:"listen"`
	// Secret is the fleet's own secret; required.
	Secret string `toml:"secret"`
}

// Operators set up the operators' listener.
type Operators struct {
	// Listen is host:port; default "127.0.0.1:7071".
	Listen string `toml:"listen"`
	// Token authorises operators; required.
	Token string `toml:"token"`
}

// Platform tells where the platform's object API is.
type Platform struct {
	// URL is the base URL; required.
	URL string `toml:"url"`
	// Token is sent as a bearer token; default none.
	Token string `toml:"token"`
}

// Load reads, completes and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	settings := Default()
	if err := decoder.Decode(settings); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s", path), ErrInvalid)
	}
	if err := settings.Check(); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	return settings, nil
}

// defaultDrainGraceMS is the default of Callers.DrainGraceMS.
const defaultDrainGraceMS = 5000

// Default returns settings with every default in place.
func Default() *Settings {
	return &Settings{
		Callers:   Callers{Listen: ":8080", DrainGraceMS: defaultDrainGraceMS},
		Peers:     Peers{Listen: ":7070"},
		Operators: Operators{Listen: "127.0.0.1:7071"},
	}
}

// Check reports the first required setting that is missing.
func (s *Settings) Check() error {
	required := []struct{ name, value string }{
		{"vm", string(s.VM)},
		{"datacentre", string(s.DataCentre)},
		{"peers.secret", s.Peers.Secret},
		{"operators.token", s.Operators.Token},
		{"platform.url", s.Platform.URL},
	}
	for _, setting := range required {
		if setting.value == "" {
			return errors.Wrapf(ErrInvalid, "%s is required", setting.name)
		}
	}
	if s.Callers.DrainGraceMS < 0 {
		return errors.Wrap(ErrInvalid, "callers.drain_grace_ms is negative")
	}
	return nil
}
