package wire

// serviceDecoders decodes the messages about what accounts were served.
var serviceDecoders = map[Kind]decoder{}
