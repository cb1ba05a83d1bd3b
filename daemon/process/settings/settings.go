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

// ErrInvalid marks the errors of invalid settings.
var ErrInvalid = errors.New("invalid settings")

// Settings are the settings of one daemon.
type Settings struct {
	// VM is this VM's unique name.
	VM version.VMID `toml:"vm"`
	// DataCentre is the data centre of this VM.
	DataCentre version.DataCentreID `toml:"datacentre"`
	Callers    Callers              `toml:"callers"`
	Peers      Peers                `toml:"peers"`
	Operators  Operators            `toml:"operators"`
	Platform   Platform             `toml:"platform"`
	Upstreams  Upstreams            `toml:"upstreams"`
	Limits     Limits               `toml:"limits"`
}

// Callers are the settings of the callers' listener.
type Callers struct {
	// Listen is host:port; default ":8080".
	Listen string `toml:"listen"`
	// DrainGraceMS is how long a daemon that shuts down still accepts requests, in
	// milliseconds, until the load balancer has noticed; default 5000.
	DrainGraceMS int `toml:"drain_grace_ms"`
	// TLS holds the files to serve callers by TLS; default none.
	TLS tlsfiles.Files `toml:"tls"`
}

// Peers are the settings of the links between daemons.
type Peers struct {
	// Listen is host:port; default ":7070".
	Listen string `toml:"listen"`
	// Secret is the secret that all daemons of the fleet share; required.
	Secret string `toml:"secret"`
	// TLS holds the files for the listener and for dialling; with a ca_file both sides
	// verify each other's certificate. Default none.
	TLS tlsfiles.Files `toml:"tls"`
}

// Operators are the settings of the operators' listener.
type Operators struct {
	// Listen is host:port; default "127.0.0.1:7071".
	Listen string `toml:"listen"`
	// Token authorises operators; required.
	Token string `toml:"token"`
	// TLS holds the files to serve operators by TLS; default none.
	TLS tlsfiles.Files `toml:"tls"`
}

// Platform are the settings of the client of the platform's object API.
type Platform struct {
	// URL is the API's base URL, http or https; required.
	URL string `toml:"url"`
	// Token is sent as a bearer token; default none.
	Token string `toml:"token"`
	// CallsPerSecond and CallsBurst limit the rate of this daemon's calls; default 50
	// calls per second and 100 calls.
	CallsPerSecond float64 `toml:"calls_per_second"`
	CallsBurst     int     `toml:"calls_burst"`
	// TLS holds the files for an https URL; default the system's certificate authorities.
	TLS tlsfiles.Files `toml:"tls"`
}

// Upstreams are the settings of the connections to upstreams.
type Upstreams struct {
	// HTTPS is set if all upstreams are reached by TLS; default false.
	HTTPS bool `toml:"https"`
	// TLS holds the files for HTTPS; default the system's certificate authorities.
	TLS tlsfiles.Files `toml:"tls"`
}

// Limits are what the process may use of its VM.
type Limits struct {
	// MemoryMB is the memory in MB (2^20 bytes); default 0, unknown.
	MemoryMB int `toml:"memory_mb"`
	// MaxFDs is the number of file descriptors; default 0, as many as the system allows the
	// process.
	MaxFDs int `toml:"max_fds"`
}

// defaultDrainGraceMS is the default of Callers.DrainGraceMS.
const defaultDrainGraceMS = 5000

// Default returns settings with all defaults; the required ones are empty.
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

// Load reads a settings file, fills in defaults and checks it. Its error is an ErrInvalid
// that names the file, line and column of each problem, unless the file cannot be read.
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
