package version

import "github.com/cockroachdb/errors"

// maxNameBytes bounds a name.
const maxNameBytes = 64

// nameProblem tells what is wrong with a name, or returns "".
func nameProblem(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > maxNameBytes {
		return "is longer than 64 bytes"
	}
	for i := range len(name) {
		if !nameByte(name[i]) {
			return "may hold only letters, digits, '.', '_' and '-'"
		}
	}
	return ""
}

func nameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

// CheckName reports why a text cannot be a name.
func CheckName(name string) error {
	if problem := nameProblem(name); problem != "" {
		return errors.Newf("%q %s", name, problem)
	}
	return nil
}
