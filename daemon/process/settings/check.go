package settings

import (
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxDrainGraceMS limits Callers.DrainGraceMS, in milliseconds.
	maxDrainGraceMS = 600_000
	// maxCalls limits Platform.CallsPerSecond and Platform.CallsBurst, in calls per second
	// and calls.
	maxCalls = 10_000
	// maxMemoryMB and maxDescriptors limit Limits.MemoryMB and Limits.MaxFDs.
	maxMemoryMB    = 1 << 20
	maxDescriptors = 1 << 24
	// maxSecretBytes limits the length of secrets and tokens, which are sent in HTTP
	// headers.
	maxSecretBytes = 1_024
)

// problem is an invalid setting.
type problem struct {
	// path is the setting's path of keys in the settings file.
	path []string
	text string
}

// Check returns an ErrInvalid that lists every invalid setting, or nil.
func (s *Settings) Check() error {
	var texts []string
	for _, problem := range s.problems() {
		texts = append(texts, problem.text)
	}
	if len(texts) == 0 {
		return nil
	}
	return errors.Wrap(ErrInvalid, strings.Join(texts, "; "))
}

// problems returns every invalid setting.
func (s *Settings) problems() []problem {
	c := &checker{}
	c.name(string(s.VM), "vm")
	c.name(string(s.DataCentre), "datacentre")
	c.listen(s.Callers.Listen, "callers", "listen")
	c.listen(s.Peers.Listen, "peers", "listen")
	c.listen(s.Operators.Listen, "operators", "listen")
	c.distinct(s)
	c.between(float64(s.Callers.DrainGraceMS), 0, maxDrainGraceMS, "callers", "drain_grace_ms")
	c.secret(s.Peers.Secret, "peers", "secret")
	c.secret(s.Operators.Token, "operators", "token")
	c.url(s.Platform.URL, "platform", "url")
	if s.Platform.Token != "" {
		c.secret(s.Platform.Token, "platform", "token")
	}
	c.between(s.Platform.CallsPerSecond, 1, maxCalls, "platform", "calls_per_second")
	c.between(float64(s.Platform.CallsBurst), 1, maxCalls, "platform", "calls_burst")
	c.serverTLS(s.Callers.TLS, "callers", "tls")
	c.serverTLS(s.Peers.TLS, "peers", "tls")
	c.serverTLS(s.Operators.TLS, "operators", "tls")
	c.clientTLS(s.Platform.TLS, "platform", "tls")
	c.clientTLS(s.Upstreams.TLS, "upstreams", "tls")
	if s.Upstreams.TLS.Enabled() && !s.Upstreams.HTTPS {
		c.add("upstreams.tls needs https = true", "upstreams", "tls")
	}
	c.between(float64(s.Limits.MemoryMB), 0, maxMemoryMB, "limits", "memory_mb")
	c.between(float64(s.Limits.MaxFDs), 0, maxDescriptors, "limits", "max_fds")
	return c.problems
}

// checker collects problems. Its methods check one setting each, except for add.
type checker struct{ problems []problem }

func (c *checker) add(text string, path ...string) {
	c.problems = append(c.problems, problem{path: path, text: text})
}

func (c *checker) name(value string, path ...string) {
	if err := version.CheckName(value); err != nil {
		c.add(strings.Join(path, ".")+" "+err.Error(), path...)
	}
}

func (c *checker) listen(address string, path ...string) {
	_, port, err := net.SplitHostPort(address)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		c.add(strings.Join(path, ".")+" "+strconv.Quote(address)+" is not host:port", path...)
	}
}

// distinct checks that no two listeners have the same address, unless the system chooses
// the port.
func (c *checker) distinct(s *Settings) {
	listenerByAddress := make(map[string]string)
	for _, listener := range []struct{ name, address string }{
		{"callers", s.Callers.Listen}, {"peers", s.Peers.Listen}, {"operators", s.Operators.Listen},
	} {
		other, duplicate := listenerByAddress[listener.address]
		if duplicate && !strings.HasSuffix(listener.address, ":0") {
			c.add(listener.name+".listen is the address of "+other+".listen", listener.name, "listen")
		}
		listenerByAddress[listener.address] = listener.name
	}
}

// between checks that a value is from lowest to highest.
func (c *checker) between(value, lowest, highest float64, path ...string) {
	if value >= lowest && value <= highest {
		return
	}
	c.add(strings.Join(path, ".")+" must be from "+formatNumber(lowest)+" to "+formatNumber(highest), path...)
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

// secret checks a secret. The text of its problem never contains the value.
func (c *checker) secret(value string, path ...string) {
	name := strings.Join(path, ".")
	switch {
	case value == "":
		c.add(name+" is required", path...)
	case len(value) > maxSecretBytes:
		c.add(name+" is longer than "+strconv.Itoa(maxSecretBytes)+" bytes", path...)
	case strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		c.add(name+" may hold only printable ASCII characters without spaces", path...)
	}
}

func (c *checker) url(value string, path ...string) {
	if value == "" {
		c.add(strings.Join(path, ".")+" is required", path...)
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.RawQuery != "" {
		c.add(strings.Join(path, ".")+" is not an http or https URL", path...)
	}
}

func (c *checker) serverTLS(files tlsfiles.Files, path ...string) {
	if _, err := files.Server(); err != nil {
		c.add(strings.Join(path, ".")+": "+err.Error(), path...)
	}
}

func (c *checker) clientTLS(files tlsfiles.Files, path ...string) {
	if _, err := files.Client(); err != nil {
		c.add(strings.Join(path, ".")+": "+err.Error(), path...)
	}
}
