// Package wire defines the messages that daemons exchange and their CBOR codec.
//
// A frame is one CBOR array of messages. The fields of a message are encoded by
// position, without names, to keep it small: a ticket, its grant and its finish
// together stay within RequestBytesTarget.
package wire

// RequestBytesTarget is the upper bound on the encoded size of a ticket, its grant and
// its finish together, in bytes.
const RequestBytesTarget = 100

// Kind identifies the type of a message on the wire. Values are never reused.
//
// Kinds 1 to 19 are in dispatch.go, 20 to 29 in membership.go, 30 to 39 in service.go,
// 40 to 49 in spill.go, 50 to 59 in config.go, 60 to 69 in ledger.go, 70 to 79 in
// work.go, limit.go and rollout.go, 80 to 89 in state.go and 90 to 99 in prompt.go.
type Kind uint8

// Message is a message between two daemons.
type Message interface {
	// Kind returns the kind under which the message is encoded.
	Kind() Kind
}
