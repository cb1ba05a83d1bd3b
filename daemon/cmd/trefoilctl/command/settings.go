package command

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
	"github.com/trefoilwell/trefoilwell/daemon/version/change"
	"github.com/trefoilwell/trefoilwell/fleet/version/tomlfile"
)

// defaultTimeout bounds one command's work with the platform.
const defaultTimeout = 20 * time.Second

// globals are the options of every command. A flag goes before its environment
// variable, and that before the settings file.
type globals struct {
	Settings      string        `long:"settings" env:"TREFOILCTL_SETTINGS" description:"settings file (TOML) with any of the options below"`
	PlatformURL   string        `long:"platform-url" env:"TREFOILCTL_PLATFORM_URL" description:"base URL of the platform's object API"`
	PlatformToken string        `long:"platform-token" env:"TREFOILCTL_PLATFORM_TOKEN" description:"bearer token for the platform"`
	Operators     []string      `long:"operator" env:"TREFOILCTL_OPERATORS" env-delim:"," description:"host:port of a daemon's operators' listener; may be repeated"`
	OperatorToken string        `long:"operator-token" env:"TREFOILCTL_OPERATOR_TOKEN" description:"operators' token"`
	OperatorTLS   bool          `long:"operator-tls" env:"TREFOILCTL_OPERATOR_TLS" description:"reach the operators' listeners by TLS"`
	CAFile        string        `long:"ca-file" env:"TREFOILCTL_CA_FILE" description:"authorities (PEM) that certificates must come from"`
	CertFile      string        `long:"cert-file" env:"TREFOILCTL_CERT_FILE" description:"own certificate (PEM)"`
	KeyFile       string        `long:"key-file" env:"TREFOILCTL_KEY_FILE" description:"own key (PEM)"`
	Timeout       time.Duration `long:"timeout" default:"20s" description:"how long to wait for the platform and the daemons"`
	JSON          bool          `long:"json" description:"print JSON instead of tables"`
}

// settingsFile is the TOML form of the globals.
type settingsFile struct {
	PlatformURL   string   `toml:"platform_url"`
	PlatformToken string   `toml:"platform_token"`
	Operators     []string `toml:"operators"`
	OperatorToken string   `toml:"operator_token"`
	OperatorTLS   bool     `toml:"operator_tls"`
	CAFile        string   `toml:"ca_file"`
	CertFile      string   `toml:"cert_file"`
	KeyFile       string   `toml:"key_file"`
}

// complete fills the globals from the settings file.
func (s *session) complete() error {
	if s.Timeout <= 0 {
		s.Timeout = defaultTimeout
	}
	if s.Settings == "" {
		return nil
	}
	text, err := os.ReadFile(s.Settings)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	var file settingsFile
	if _, problems := tomlfile.Decode(s.Settings, text, &file); len(problems) > 0 {
		return problems
	}
	fill(&s.PlatformURL, file.PlatformURL)
	fill(&s.PlatformToken, file.PlatformToken)
	fill(&s.OperatorToken, file.OperatorToken)
	fill(&s.CAFile, file.CAFile)
	fill(&s.CertFile, file.CertFile)
	fill(&s.KeyFile, file.KeyFile)
	s.OperatorTLS = s.OperatorTLS || file.OperatorTLS
	if len(s.Operators) == 0 {
		s.Operators = file.Operators
	}
	return nil
}

func fill(value *string, fallback string) {
	if *value == "" {
		*value = fallback
	}
}

func (s *session) tlsFiles() tlsfiles.Files {
	return tlsfiles.Files{CertFile: s.CertFile, KeyFile: s.KeyFile, CAFile: s.CAFile}
}

// platform returns a client of the platform.
func (s *session) platform() (*objectstore.Client, error) {
	if s.PlatformURL == "" {
		return nil, errors.Mark(errors.New("no platform: give --platform-url, TREFOILCTL_PLATFORM_URL or platform_url in the settings file"), errUsage)
	}
	settings, err := s.tlsFiles().Client()
	if err != nil {
		return nil, err
	}
	return objectstore.New(objectstore.Options{
		URL:       s.PlatformURL,
		Token:     s.PlatformToken,
		Transport: objectstore.NewTransport(settings),
	}), nil
}

func (s *session) changer() (*change.Changer, error) {
	client, err := s.platform()
	if err != nil {
		return nil, err
	}
	return change.New(change.Options{Store: client}), nil
}
