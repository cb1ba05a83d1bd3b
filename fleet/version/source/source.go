// Package source reads a configuration as operators write it: one or more TOML
// files that together are one document.
package source

import (
	"strconv"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/tomlfile"
)

// MaxFileBytes bounds one file.
const MaxFileBytes = 64 << 20

// File is one file's name, as shown in errors, and its text.
type File struct {
	Name string
	Text []byte
}

// Parse returns the document that the files hold together, or everything that
// is wrong with it as tomlfile.Problems.
func Parse(files []File) (*version.Document, error) {
	var document version.Document
	var problems tomlfile.Problems
	where := &locator{start: tomlfile.Position{File: "configuration"}}
	for _, file := range files {
		var part version.Document
		index, bad := tomlfile.Decode(file.Name, file.Text, &part)
		problems = append(problems, bad...)
		problems = append(problems, explicitZeros(index, &part)...)
		where.add(index, file.Name, &part)
		document.Append(part)
	}
	if len(problems) == 0 {
		for _, problem := range document.Validate() {
			problems = append(problems, tomlfile.Problem{Position: where.at(problem.Path), Text: problem.Text})
		}
	}
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	return &document, nil
}

// locator finds the file and the place of a merged document's elements.
type locator struct {
	start tomlfile.Position
	// origins tells for each section where each element came from.
	origins map[string][]origin
}

// origin is an element's place in its own file.
type origin struct {
	index   *tomlfile.Index
	element int
}

func (l *locator) add(index *tomlfile.Index, name string, part *version.Document) {
	if l.origins == nil {
		l.origins = make(map[string][]origin)
		l.start.File = name
	}
	for section, count := range counts(part) {
		for i := range count {
			l.origins[section] = append(l.origins[section], origin{index: index, element: i})
		}
	}
}

// at returns the position of a path in the merged document.
func (l *locator) at(path []string) tomlfile.Position {
	if len(path) < 2 {
		return l.start
	}
	number, err := strconv.Atoi(path[1])
	origins := l.origins[path[0]]
	if err != nil || number >= len(origins) {
		return l.start
	}
	from := origins[number]
	local := append([]string{path[0], strconv.Itoa(from.element)}, path[2:]...)
	return from.index.At(local...)
}

func counts(part *version.Document) map[string]int {
	return map[string]int{
		"datacentre": len(part.DataCentres),
		"account":    len(part.Accounts),
		"pool":       len(part.Pools),
		"upstream":   len(part.Upstreams),
		"preset":     len(part.Presets),
	}
}

// optional lists the numbers of each section that have a default if they are
// left out.
var optional = map[string][]string{
	"account":  {"weight", "max_waiting"},
	"pool":     {"expected_first_token_ms"},
	"upstream": {"cold_limit", "warm_limit"},
	"preset":   {"limit_scale"},
}

// explicitZeros finds numbers that were written as 0. Once decoded they could
// not be told from numbers that were left out and get a default.
func explicitZeros(index *tomlfile.Index, part *version.Document) tomlfile.Problems {
	var problems tomlfile.Problems
	for section, count := range counts(part) {
		for i := range count {
			for _, key := range optional[section] {
				if valueOf(part, section, i, key) == 0 && index.Has(section, strconv.Itoa(i), key) {
					at := index.At(section, strconv.Itoa(i), key)
					problems = append(problems, tomlfile.Problem{Position: at, Text: key + " is 0, it must be above 0; leave it out for the default"})
				}
			}
		}
	}
	return problems
}

func valueOf(part *version.Document, section string, i int, key string) float64 {
	switch section + "." + key {
	case "account.weight":
		return part.Accounts[i].Weight
	case "account.max_waiting":
		return float64(part.Accounts[i].MaxWaiting)
	case "pool.expected_first_token_ms":
		return float64(part.Pools[i].ExpectedFirstTokenMS)
	case "upstream.cold_limit":
		return float64(part.Upstreams[i].ColdLimit)
	case "upstream.warm_limit":
		return float64(part.Upstreams[i].WarmLimit)
	default:
		return part.Presets[i].LimitScale
	}
}
