package generalupstream

import (
	"fmt"
	"strings"
)

// Answer returns the body of the answer to a request identifier.
func Answer(id string) string { return "answer to " + id }

// Receipt returns the receipt of a request identifier.
func Receipt(id string) string { return "seal-" + id }

// Event returns one event of a stream, counted from 1.
func Event(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

// EventOf returns one event of a stream of an upstream with a software version.
func EventOf(number int, software string) string {
	if software == "" {
		return Event(number)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, software)
}

// CompleteStream returns the body of a stream from its first event on.
func CompleteStream() string { return StreamOf("") }

// StreamOf returns the body of a stream of an upstream with a software version, from its first
// event on.
func StreamOf(software string) string {
	var text strings.Builder
	for number := range Events {
		text.WriteString(EventOf(number+1, software))
	}
	return text.String()
}
