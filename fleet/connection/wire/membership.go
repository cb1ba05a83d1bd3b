package wire

// membershipDecoders decodes the messages about who takes part.
var membershipDecoders = map[Kind]decoder{}
