// Package tomlfile decodes TOML text strictly and records the position of each
// key, so that later checks can report file, line and column.
package tomlfile

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Position is a position in a file. Line and Column count from 1; 0 is unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column, or only the file if the line is unknown.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is an error at a position in a file.
type Problem struct {
	Position Position
	Text     string
}

// Problems holds all problems that were found, sorted by position once Sort was
// called. It implements error.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Position.String()+": "+problem.Text)
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the problems by file, line and column.
func (p Problems) Sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Column, b.Position.Column),
		)
	})
}

// Decode decodes text into the struct that target points to. An unknown key is a
// problem. The Problems are empty if the text was decoded. The Index is never nil,
// but has no keys if there are problems.
func Decode(file string, text []byte, target any) (*Index, Problems) {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &Index{file: file}, problemsOf(file, err)
	}
	return newIndex(file, text), nil
}

// problemsOf converts an error of the TOML library into problems.
func problemsOf(file string, err error) Problems {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var problems Problems
		for i := range unknown.Errors {
			problem := problemOf(file, &unknown.Errors[i])
			problem.Text = fmt.Sprintf("unknown key %q", strings.Join(unknown.Errors[i].Key(), "."))
			problems = append(problems, problem)
		}
		return problems
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		return Problems{problemOf(file, malformed)}
	}
	return Problems{{Position: Position{File: file}, Text: err.Error()}}
}

// problemOf converts a TOML error with a position into a problem.
func problemOf(file string, err *toml.DecodeError) Problem {
	line, column := err.Position()
	text := strings.TrimPrefix(err.Error(), "toml: ")
	return Problem{Position: Position{File: file, Line: line, Column: column}, Text: text}
}
