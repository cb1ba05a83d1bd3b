package wire

// ledgerDecoders decodes the messages about claims of non-idempotent requests.
var ledgerDecoders = map[Kind]decoder{}
