package wire

// configDecoders decodes the messages that carry configuration between daemons.
var configDecoders = map[Kind]decoder{}
