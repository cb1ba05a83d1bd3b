package source

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
	"github.com/trefoilwell/trefoilwell/fleet/version/tomlfile"
)

// base is a document with a data centre, pools and a preset, and nothing else.
const base = `[[datacentre]]
name = "north"
region = "one"

[[pool]]
name = "polish"
kind = "model"
models = ["polish-7b"]

[[pool]]
name = "booking"
kind = "service"
path_prefix = "/booking/"
non_repeatable = ["POST"]

[[preset]]
name = "ordinary"
`

// upstream adds an upstream to base.
const upstream = `[[upstream]]
name = "north-1"
pool = "polish"
datacentre = "north"
address = "10.0.0.1:80"
team = "advice"
`

var digest = strings.Repeat("ab", 32)

// parse parses the texts as files a.toml, b.toml and so on.
func parse(texts ...string) (*version.Document, error) {
	var files []File
	for i, text := range texts {
		files = append(files, File{Name: string(rune('a'+i)) + ".toml", Text: []byte(text)})
	}
	return Parse(files)
}

func TestParseMergesFiles(t *testing.T) {
	account := "[[account]]\nname = \"crews\"\nteam = \"advice\"\nkey_digests = [\"" + digest + "\"]\n"
	document, err := parse(account, base, upstream)
	if err != nil {
		t.Fatal(err)
	}
	if len(document.Accounts) != 1 || len(document.Upstreams) != 1 || len(document.Pools) != 2 {
		t.Errorf("merged document: got %+v, want 1 account, 1 upstream and 2 pools", document)
	}
}

// TestEveryProblemHasItsPosition breaks one rule at a time in the second file and
// checks the reported problem and its position.
func TestEveryProblemHasItsPosition(t *testing.T) {
	account := func(lines string) string { return "[[account]]\nname = \"crews\"\nkey_digests = []\n" + lines }
	brokenUpstream := func(old, replacement string) string { return strings.Replace(upstream, old, replacement, 1) }
	pool := func(lines string) string { return "[[pool]]\nname = \"p\"\n" + lines }
	service := func(prefix string) string { return pool("kind = \"service\"\npath_prefix = \"" + prefix + "\"\n") }
	preset := func(lines string) string { return "[[preset]]\nname = \"peak\"\n" + lines }
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", account("wieght = 2\n"), `b.toml:4:1: unknown key "account.wieght"`},
		{"syntax", "[[account]]\nname = crews\n", "b.toml:2:"},
		{"type", "[[account]]\nname = 3\n", "b.toml:2:"},
		{"empty name", "[[account]]\n", `b.toml:1:3: name "" is empty`},
		{"charset", "[[account]]\nname = \"a b\"\n", "b.toml:2:1: name"},
		{"long name", "[[account]]\nname = \"" + strings.Repeat("x", 65) + "\"\n", "b.toml:2:1: name"},
		{"duplicate", account("") + account(""), "b.toml:5:1: the name \"crews\" stands twice"},
		{"collision", "[[account]]\nname = \"a80370\"\n[[account]]\nname = \"a82847\"\n", "collide"},
		{"negative weight", account("weight = -1.0\n"), "b.toml:4:1: weight is -1"},
		{"zero weight", account("weight = 0.0\n"), "b.toml:4:1: weight is 0"},
		{"infinite weight", account("weight = inf\n"), "b.toml:4:1: weight is +Inf"},
		{"weight no number", account("weight = nan\n"), "b.toml:4:1: weight is NaN"},
		{"max waiting", account("max_waiting = -3\n"), "b.toml:4:1: max_waiting"},
		{"account's team", account("team = \"nobody\"\n"), "b.toml:4:1: the team"},
		{"short digest", "[[account]]\nname = \"a\"\nkey_digests = [\"abc\"]\n", "b.toml:3:1: the key digest"},
		{"upper-case digest", "[[account]]\nname = \"a\"\nkey_digests = [\"" + strings.ToUpper(digest) + "\"]\n", "b.toml:3:1: the key digest"},
		{"shared digest", "[[account]]\nname = \"a\"\nkey_digests = [\"" + digest + "\"]\n[[account]]\nname = \"b\"\nkey_digests = [\"" + digest + "\"]\n", "b.toml:6:1: the key digest"},
		{"kind", pool("kind = \"other\"\n"), "b.toml:3:1: kind"},
		{"no models", pool("kind = \"model\"\n"), "b.toml:1:3: the model pool"},
		{"model twice", pool("kind = \"model\"\nmodels = [\"polish-7b\"]\n"), "b.toml:4:1: the model \"polish-7b\" stands twice"},
		{"model with a prefix", pool("kind = \"model\"\nmodels = [\"m\"]\npath_prefix = \"/x/\"\n"), "b.toml:5:1: a model pool has no path_prefix"},
		{"model with methods", pool("kind = \"model\"\nmodels = [\"m\"]\nnon_repeatable = [\"POST\"]\n"), "b.toml:5:1: a model pool has no non_repeatable"},
		{"service with models", service("/x/") + "models = [\"m\"]\n", "b.toml:5:1: a service pool has no models"},
		{"prefix without slash", service("/x"), "b.toml:4:1: path_prefix"},
		{"prefix is the root", service("/"), "b.toml:4:1: path_prefix"},
		{"prefix climbs", service("/a/../"), "b.toml:4:1: path_prefix"},
		{"prefix under the models", service("/v1/x/"), "b.toml:4:1: path_prefix \"/v1/x/\" overlaps the models"},
		{"prefixes overlap", service("/booking/new/"), "b.toml:4:1: path_prefix \"/booking/new/\" overlaps \"/booking/\""},
		{"method", service("/x/") + "non_repeatable = [\"post\"]\n", "b.toml:5:1: \"post\" is none of"},
		{"first token", pool("kind = \"model\"\nmodels = [\"m\"]\nexpected_first_token_ms = -1\n"), "b.toml:5:1: expected_first_token_ms"},
		{"unknown pool", brokenUpstream("\"polish\"", "\"dull\""), "b.toml:3:1: the pool \"dull\""},
		{"unknown data centre", brokenUpstream("\"north\"", "\"south\""), "b.toml:4:1: the data centre \"south\""},
		{"address", brokenUpstream("10.0.0.1:80", "10.0.0.1"), "b.toml:5:1: address"},
		{"address port", brokenUpstream(":80", ":0"), "b.toml:5:1: address"},
		{"address twice", upstream + brokenUpstream("north-1", "north-2"), "b.toml:11:1: address"},
		{"cold over warm", upstream + "cold_limit = 9\n", "b.toml:7:1: cold_limit 9 is above warm_limit 8"},
		{"zero limit", upstream + "warm_limit = 0\n", "b.toml:7:1: warm_limit is 0"},
		{"lent share", upstream + "lent_share = 1.5\n", "b.toml:7:1: lent_share"},
		{"preset's account", upstream + preset("[preset.weights]\nnobody = 1.0\n"), "b.toml:10:1: the account \"nobody\""},
		{"preset's team", upstream + preset("[preset.lent_shares]\nnobody = 1.0\n"), "b.toml:10:1: the team \"nobody\""},
		{"preset's share", upstream + preset("lent_shares = { advice = 2.0 }\n"), "b.toml:9:17: advice is 2"},
		{"limit scale", preset("limit_scale = -2.0\n"), "b.toml:3:1: limit_scale"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parse(base, c.text)
			var problems tomlfile.Problems
			if !errors.As(err, &problems) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("problems: got %v\nwant %s", err, c.want)
			}
		})
	}
	if _, err := parse("[[datacentre]]\nname = \"n\"\nregion = \"r\"\n"); err == nil || !strings.Contains(err.Error(), "a.toml: there is no [[preset]]") {
		t.Errorf("document without a preset: got %v, want a problem of a.toml", err)
	}
}

func TestAllProblemsAreReportedInOrder(t *testing.T) {
	_, err := parse("[[account]]\nname = \"a b\"\nweight = -1.0\n", "[[upstream]]\nname = \"u\"\npool = \"none\"\n"+base)
	var problems tomlfile.Problems
	if !errors.As(err, &problems) || len(problems) != 5 {
		t.Fatalf("got %v, want five problems", err)
	}
	for i := 1; i < len(problems); i++ {
		a, b := problems[i-1].Position, problems[i].Position
		if a.File > b.File || a.File == b.File && a.Line > b.Line {
			t.Errorf("the problem at %v is reported before the problem at %v", a, b)
		}
	}
}

// FuzzParse checks that no text makes Parse panic, that every error holds problems,
// and that every accepted document is still valid and compiles after it was split
// into parts and joined again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(base + upstream))
	f.Add([]byte("[[account]]\nname = \"a\"\nweight = nan\n"))
	f.Add([]byte("preset = [{name = \"x\", weights = {a = 1.0}}]\n"))
	f.Add([]byte("[[preset]]\nname.x = 1\n[preset.weights.deep]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Parse([]File{{Name: "fuzz.toml", Text: text}})
		if err != nil {
			var problems tomlfile.Problems
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			return
		}
		parts, err := part.Split(document)
		if err != nil {
			t.Fatal(err)
		}
		stored := make(map[string][]byte)
		for _, p := range parts {
			stored[p.Ref.SHA256] = p.Data
		}
		head := version.Head{Number: 1, Preset: document.Presets[0].Name, Parts: part.Refs(parts)}
		joined, err := part.Join(head, func(digest string) ([]byte, bool) { data, ok := stored[digest]; return data, ok })
		if err != nil {
			t.Fatal(err)
		}
		if problems := joined.Validate(); len(problems) > 0 {
			t.Fatalf("document joined from its parts is invalid: %v", problems)
		}
		if _, err := version.Compile(joined, head); err != nil {
			t.Fatal(err)
		}
	})
}
