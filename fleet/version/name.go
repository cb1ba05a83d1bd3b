package version

import "github.com/cockroachdb/errors"

// maxNameBytes is the maximum length of a name.
const maxNameBytes = 64

// nameProblem returns what is wrong with a name, as the end of a sentence, or ""
// if the name is valid.
func nameProblem(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > maxNameBytes {
		return "is longer than 64 bytes"
	}
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return "may hold only letters, digits, '.', '_' and '-'"
		}
	}
	return ""
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

// CheckName returns an error that says what is wrong with a name, or nil if it
// is valid.
func CheckName(name string) error {
	if problem := nameProblem(name); problem != "" {
		return errors.Newf("%q %s", name, problem)
	}
	return nil
}
