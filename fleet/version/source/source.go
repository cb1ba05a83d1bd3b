// Package source parses the configuration that operators write: one or more TOML
// files that together form one document.
package source

import (
	"strconv"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/tomlfile"
)

// MaxFileBytes is the maximum size of one file.
const MaxFileBytes = 64 << 20

// File is a configuration file: its name, as shown in errors, and its text.
type File struct {
	Name string
	Text []byte
}

// Parse returns the document that the files form together. If it cannot be decoded
// or is invalid, Parse returns an error of type tomlfile.Problems that holds all
// problems found.
func Parse(files []File) (*version.Document, error) {
	var document version.Document
	var problems tomlfile.Problems
	positions := &locator{fallback: tomlfile.Position{File: "configuration"}}
	for _, file := range files {
		var fileDocument version.Document
		index, decodeProblems := tomlfile.Decode(file.Name, file.Text, &fileDocument)
		problems = append(problems, decodeProblems...)
		problems = append(problems, explicitZeros(index, &fileDocument)...)
		positions.add(index, file.Name, &fileDocument)
		document.Append(fileDocument)
	}
	if len(problems) == 0 {
		for _, problem := range document.Validate() {
			problems = append(problems, tomlfile.Problem{Position: positions.at(problem.Path), Text: problem.Text})
		}
	}
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	return &document, nil
}

// locator finds the positions of the elements of a merged document in their files.
type locator struct {
	// fallback is the position of a path that does not belong to an element: the
	// first file.
	fallback tomlfile.Position
	// origins holds the origin of each element by section.
	origins map[string][]origin
}

// origin is the file of an element and its index in the section of that file.
type origin struct {
	index   *tomlfile.Index
	element int
}

// add adds the elements of the next file.
func (l *locator) add(index *tomlfile.Index, name string, fileDocument *version.Document) {
	if l.origins == nil {
		l.origins = make(map[string][]origin)
		l.fallback.File = name
	}
	for section, count := range elementCounts(fileDocument) {
		for i := range count {
			l.origins[section] = append(l.origins[section], origin{index: index, element: i})
		}
	}
}

// at returns the position of a path in the merged document.
func (l *locator) at(path []string) tomlfile.Position {
	if len(path) < 2 {
		return l.fallback
	}
	element, err := strconv.Atoi(path[1])
	origins := l.origins[path[0]]
	if err != nil || element >= len(origins) {
		return l.fallback
	}
	from := origins[element]
	pathInFile := append([]string{path[0], strconv.Itoa(from.element)}, path[2:]...)
	return from.index.At(pathInFile...)
}

// elementCounts returns the number of elements of each section.
func elementCounts(document *version.Document) map[string]int {
	return map[string]int{
		"datacentre": len(document.DataCentres),
		"account":    len(document.Accounts),
		"pool":       len(document.Pools),
		"upstream":   len(document.Upstreams),
		"preset":     len(document.Presets),
	}
}

// optionalNumbers lists the keys of each section whose values are numbers that
// have a default if they are left out.
var optionalNumbers = map[string][]string{
	"account":  {"weight", "max_waiting"},
	"pool":     {"expected_first_token_ms"},
	"upstream": {"cold_limit", "warm_limit"},
	"preset":   {"limit_scale"},
}

// explicitZeros returns a problem for each optional number that is written as 0 in
// a file. Once decoded it could not be told from a number that was left out, and
// would get the default.
func explicitZeros(index *tomlfile.Index, fileDocument *version.Document) tomlfile.Problems {
	var problems tomlfile.Problems
	for section, count := range elementCounts(fileDocument) {
		for i := range count {
			for _, key := range optionalNumbers[section] {
				if numberOf(fileDocument, section, i, key) == 0 && index.Has(section, strconv.Itoa(i), key) {
					position := index.At(section, strconv.Itoa(i), key)
					problems = append(problems, tomlfile.Problem{Position: position, Text: key + " is 0, it must be above 0; leave it out for the default"})
				}
			}
		}
	}
	return problems
}

// numberOf returns the value of a key in optionalNumbers.
func numberOf(document *version.Document, section string, i int, key string) float64 {
	switch section + "." + key {
	case "account.weight":
		return document.Accounts[i].Weight
	case "account.max_waiting":
		return float64(document.Accounts[i].MaxWaiting)
	case "pool.expected_first_token_ms":
		return float64(document.Pools[i].ExpectedFirstTokenMS)
	case "upstream.cold_limit":
		return float64(document.Upstreams[i].ColdLimit)
	case "upstream.warm_limit":
		return float64(document.Upstreams[i].WarmLimit)
	default:
		return document.Presets[i].LimitScale
	}
}
