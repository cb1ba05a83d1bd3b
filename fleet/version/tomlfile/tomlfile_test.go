package tomlfile

import "testing"

type thing struct {
	Name  string             `toml:"name"`
	Parts []map[string]int   `toml:"parts"`
	Extra map[string]float64 `toml:"extra"`
}

type file struct {
	Title  string  `toml:"title"`
	Things []thing `toml:"thing"`
}

const text = `title = "x"

[[thing]]
name = "a"
  [thing.extra]
  one = 1.0

[[thing]]
name = "b"
parts = [ { p = 1 },
  { q = 2 } ]
extra.two = 2.0
`

func TestIndexReturnsThePositionOfKeys(t *testing.T) {
	var decoded file
	index, problems := Decode("f.toml", []byte(text), &decoded)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	for _, c := range []struct {
		want string
		path []string
	}{
		{"f.toml:1:1", []string{"title"}},
		{"f.toml:4:1", []string{"thing", "0", "name"}},
		{"f.toml:6:3", []string{"thing", "0", "extra", "one"}},
		{"f.toml:8:3", []string{"thing", "1"}},
		{"f.toml:8:3", []string{"thing", "1", "absent"}},
		{"f.toml:9:1", []string{"thing", "1", "name"}},
		{"f.toml:11:5", []string{"thing", "1", "parts", "1", "q"}},
		{"f.toml:12:1", []string{"thing", "1", "extra", "two"}},
		{"f.toml", []string{"nothing"}},
	} {
		if got := index.At(c.path...).String(); got != c.want {
			t.Errorf("position of key %q: got %s, want %s", c.path, got, c.want)
		}
	}
}

func TestDecodeReportsThePositionOfEveryProblem(t *testing.T) {
	var decoded file
	_, problems := Decode("f.toml", []byte("titel = 1\n[[thing]]\nname = \"a\"\nnome = 2\n"), &decoded)
	want := "f.toml:1:1: unknown key \"titel\"\nf.toml:4:1: unknown key \"thing.nome\""
	if got := problems.Error(); got != want {
		t.Errorf("problems of unknown keys: got %s\nwant %s", got, want)
	}
	_, problems = Decode("f.toml", []byte("title = \"x\"\n[[thing]\n"), &decoded)
	if len(problems) != 1 || problems[0].Position.Line != 2 {
		t.Errorf("syntax error: got %v, want one problem in line 2", problems)
	}
	_, problems = Decode("f.toml", []byte("\ntitle = 3\n"), &decoded)
	if len(problems) != 1 || problems[0].Position.Line != 2 {
		t.Errorf("wrong type: got %v, want one problem in line 2", problems)
	}
}
