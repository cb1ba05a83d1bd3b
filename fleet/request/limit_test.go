package request

import "testing"

// Guards against a limit that is taken from a value which is no plain decimal number, and against
// one that a malformed or repeated value ends or raises.
func TestRateLimitIsThePlainDecimalNumberNamed(t *testing.T) {
	named := func(rate float64) RateLimit { return RateLimit{State: LimitNamed, PerSecond: rate} }
	for _, c := range []struct {
		values  []string
		want    RateLimit
		invalid bool
	}{
		{nil, RateLimit{State: LimitNone}, false},
		{[]string{"7.5"}, named(7.5), false},
		{[]string{" 12 "}, named(12), false},
		{[]string{"0"}, named(0), false},
		{[]string{"0.0"}, named(0), false},
		{[]string{".5"}, named(0.5), false},
		{[]string{"99999999999999999999"}, named(MaxNamedRate), false},
		{[]string{"9", "4"}, named(4), false},
		{[]string{"9, 4"}, named(4), false},
		{[]string{"9", "many"}, named(9), true},
		{[]string{""}, RateLimit{}, true},
		{[]string{"."}, RateLimit{}, true},
		{[]string{"1.2.3"}, RateLimit{}, true},
		{[]string{"-3"}, RateLimit{}, true},
		{[]string{"+3"}, RateLimit{}, true},
		{[]string{"1e3"}, RateLimit{}, true},
		{[]string{"0x10"}, RateLimit{}, true},
		{[]string{"Inf"}, RateLimit{}, true},
		{[]string{"NaN"}, RateLimit{}, true},
		{[]string{"1_000"}, RateLimit{}, true},
		{[]string{"111111111111111111111111111111111111111111"}, RateLimit{}, true},
	} {
		got, invalid := ParseRateLimit(c.values)
		if got != c.want || (invalid != "") != c.invalid {
			t.Errorf("%q: %+v, invalid %q; want %+v, invalid %v", c.values, got, invalid, c.want, c.invalid)
		}
	}
}

func FuzzRateLimit(f *testing.F) {
	f.Add("7.5", "3")
	f.Add("-1e308", "\x00")
	f.Fuzz(func(t *testing.T, first, second string) {
		limit, _ := ParseRateLimit([]string{first, second})
		if limit.State == LimitNone || !(limit.PerSecond >= 0 && limit.PerSecond <= MaxNamedRate) {
			t.Errorf("%q, %q: %+v", first, second, limit)
		}
	})
}
