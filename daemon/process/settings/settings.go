// Package settings reads a daemon's settings file.
package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/tomlfile"
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
	Upstreams  Upstreams            `toml:"upstreams"`
}

// Callers set up the callers' listener.
type Callers struct {
	// Listen is host:port; default ":8080".
	Listen string `toml:"listen"`
	// DrainGraceMS is how long, in milliseconds, a daemon that shuts down
	// still takes requests, so that the balancer notices; default 5000.
	DrainGraceMS int `toml:"drain_grace_ms"`
	// TLS serves callers by TLS; default none.
	TLS tlsfiles.Files `toml:"tls"`
}

// Peers set up the links between daemons.
type Peers struct {
	// Listen is host:port; default ":7070".
	Listen string `toml:"listen"`
	// Secret is the fleet's own secret; required.
	Secret string `toml:"secret"`
	// TLS is used for the listener and for dialling; with a ca_file both sides
	// check each other. Default none.
	TLS tlsfiles.Files `toml:"tls"`
}

// Operators set up the operators' listener.
type Operators struct {
	// Listen is host:port; default "127.0.0.1:7071".
	Listen string `toml:"listen"`
	// Token authorises operators; required.
	Token string `toml:"token"`
	// TLS serves operators by TLS; default none.
	TLS tlsfiles.Files `toml:"tls"`
}

// Platform tells where the platform's object API is.
type Platform struct {
	// URL is the base URL, http or https; required.
	URL string `toml:"url"`
	// Token is sent as a bearer token; default none.
	Token string `toml:"token"`
	// CallsPerSecond and CallsBurst bound this daemon's calls; default 50 and
	// 100.
	CallsPerSecond float64 `toml:"calls_per_second"`
	CallsBurst     int     `toml:"calls_burst"`
	// TLS is used with an https URL; default the system's authorities.
	TLS tlsfiles.Files `toml:"tls"`
}

// Upstreams tell how upstreams are reached.
type Upstreams struct {
	// HTTPS reaches all upstreams by TLS; default false.
	HTTPS bool `toml:"https"`
	// TLS is used with HTTPS; default the system's authorities.
	TLS tlsfiles.Files `toml:"tls"`
}

// defaultDrainGraceMS is the default of Callers.DrainGraceMS.
const defaultDrainGraceMS = 5000

// Default returns settings with every default in place.
func Default() *Settings {
	return &Settings{
		Callers:   Callers{Listen: ":8080", DrainGraceMS: defaultDrainGraceMS},
		Peers:     Peers{Listen: ":7070"},
		Operators: Operators{Listen: "127.0.0.1:7071"},
		Platform: Platform{
			CallsPerSecond: objectstore.DefaultCallsPerSecond,
			CallsBurst:     objectstore.DefaultCallsBurst,
		},
	}
}

// Load reads, completes and checks a settings file. Its error names file, line
// and column of everything that is wrong.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	settings := Default()
	index, problems := tomlfile.Decode(path, text, settings)
	if len(problems) == 0 {
		for _, problem := range settings.problems() {
			problems = append(problems, tomlfile.Problem{Position: index.At(problem.path...), Text: problem.text})
		}
	}
	if len(problems) > 0 {
		problems.Sort()
		return nil, errors.Mark(problems, ErrInvalid)
	}
	return settings, nil
}
