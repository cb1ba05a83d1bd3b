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

// defaultTimeout is the time limit of a command if --timeout is not positive.
const defaultTimeout = 20 * time.Second

// globals holds the options of every command. A flag takes precedence over its
// environment variable, and the variable over the settings file.
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

// settingsFile is the content of the settings file: the globals that it can set.
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

// loadSettings sets the globals that are not set yet from the settings file.
func (s *session) loadSettings() error {
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
	setDefault(&s.PlatformURL, file.PlatformURL)
	setDefault(&s.PlatformToken, file.PlatformToken)
	setDefault(&s.OperatorToken, file.OperatorToken)
	setDefault(&s.CAFile, file.CAFile)
	setDefault(&s.CertFile, file.CertFile)
	setDefault(&s.KeyFile, file.KeyFile)
	s.OperatorTLS = s.OperatorTLS || file.OperatorTLS
	if len(s.Operators) == 0 {
		s.Operators = file.Operators
	}
	return nil
}

// setDefault sets an empty value to fallback.
func setDefault(value *string, fallback string) {
	if *value == "" {
		*value = fallback
	}
}

// tlsFiles returns the TLS files in the globals.
func (s *session) tlsFiles() tlsfiles.Files {
	return tlsfiles.Files{CertFile: s.CertFile, KeyFile: s.KeyFile, CAFile: s.CAFile}
}

// newPlatformClient returns a client of the platform's object store.
func (s *session) newPlatformClient() (*objectstore.Client, error) {
	if s.PlatformURL == "" {
		return nil, errors.Mark(errors.New("no platform: give --platform-url, TREFOILCTL_PLATFORM_URL or platform_url in the settings file"), errUsage)
	}
	tlsConfig, err := s.tlsFiles().Client()
	if err != nil {
		return nil, err
	}
	return objectstore.New(objectstore.Options{
		URL:       s.PlatformURL,
		Token:     s.PlatformToken,
		Transport: objectstore.NewTransport(tlsConfig),
	}), nil
}

// newChanger returns a Changer of the configuration in the platform.
func (s *session) newChanger() (*change.Changer, error) {
	client, err := s.newPlatformClient()
	if err != nil {
		return nil, err
	}
	return change.New(change.Options{Store: client}), nil
}
