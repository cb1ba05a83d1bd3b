package wire

// spillDecoders decodes the messages between dispatchers of a pool in different data centres.
var spillDecoders = map[Kind]decoder{}
