package request

import (
	"math"
	"strconv"
	"strings"
)

// MaxNamedRate bounds a named rate in requests per second. Beyond it a limit binds nobody.
const MaxNamedRate = 1e6

// LimitState says whether an answer names a rate limit of its upstream.
type LimitState uint8

const (
	// LimitUnsaid means that the answer says nothing about a limit: what was known before
	// still holds.
	LimitUnsaid LimitState = iota
	// LimitNone means that the upstream names no limit, which ends an earlier one.
	LimitNone
	// LimitNamed means that the upstream names a limit.
	LimitNamed
)

// RateLimit is the request rate that an upstream takes from the whole fleet, as named in an
// answer.
type RateLimit struct {
	State LimitState
	// PerSecond is the rate in requests per second, 0 to MaxNamedRate; set with LimitNamed.
	PerSecond float64
}

// ParseRateLimit parses the values of the header that names a limit. Without a value the
// upstream names none. Of several values the lowest counts. A value that is not a plain
// decimal number without a sign says nothing; it is returned as invalid.
func ParseRateLimit(values []string) (limit RateLimit, invalid string) {
	if len(values) == 0 {
		return RateLimit{State: LimitNone}, ""
	}
	for text := range strings.SplitSeq(strings.Join(values, ","), ",") {
		rate, valid := parseRate(strings.TrimSpace(text))
		switch {
		case !valid:
			invalid = strconv.Quote(text)
		case limit.State == LimitUnsaid || rate < limit.PerSecond:
			limit = RateLimit{State: LimitNamed, PerSecond: rate}
		}
	}
	return limit, invalid
}

// maxRateDigits bounds the length of a number, so that a value of any length is cheap to parse.
const maxRateDigits = 32

// parseRate parses digits with at most one decimal point among them.
func parseRate(text string) (float64, bool) {
	if len(text) > maxRateDigits || strings.Trim(text, "0123456789.") != "" || strings.Count(text, ".") > 1 {
		return 0, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) {
		return 0, false
	}
	return min(rate, MaxNamedRate), true
}
