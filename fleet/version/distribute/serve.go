package distribute

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// chunkBytes bounds a chunk before compression. partsAtOnce chunks and a head
// stay below wire.MaxFrameBytes.
const chunkBytes = 64 << 10

// offerHead answers a HeadRequest. A daemon that holds nothing stays silent.
func (c *Core) offerHead(to version.VMID, m wire.HeadRequest) {
	if c.held == nil {
		return
	}
	offer := wire.HeadOffer{Orders: wire.FromOrders(c.orders)}
	if m.Known != c.held.encoded.hash {
		base := c.earlierHead(m.Known)
		offer.Base = base.hash
		offer.Head = deflate(c.held.encoded.bytes, base.bytes)
	}
	c.send(to, offer)
}

// earlierHead returns the kept head with a hash, or an empty one.
func (c *Core) earlierHead(hash uint64) encodedHead {
	for _, head := range c.earlier {
		if head.hash == hash {
			return head
		}
	}
	return encodedHead{}
}

// offerChunk answers a PartRequest.
func (c *Core) offerChunk(to version.VMID, m wire.PartRequest) {
	chunk := wire.PartChunk{SHA256: m.SHA256, Offset: m.Offset}
	data, present := c.Part(hex.EncodeToString(m.SHA256))
	if present && int(m.Offset) < len(data) {
		rest := data[m.Offset:]
		chunk.Total = uint32(len(data))
		chunk.Data = deflate(rest[:min(len(rest), chunkBytes)], nil)
	}
	c.send(to, chunk)
}

// writers keeps compressors without a dictionary, which are large, for reuse.
var writers = sync.Pool{New: func() any {
	// The level is valid.
	writer, _ := flate.NewWriter(nil, flate.DefaultCompression)
	return writer
}}

// deflate compresses data against a dictionary, which may be empty.
func deflate(data, dictionary []byte) []byte {
	var compressed bytes.Buffer
	if len(dictionary) > 0 {
		// The level is valid.
		writer, _ := flate.NewWriterDict(&compressed, flate.DefaultCompression, dictionary)
		compress(writer, data)
		return compressed.Bytes()
	}
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&compressed)
	compress(writer, data)
	return compressed.Bytes()
}

// compress writes data through a writer to a buffer, which never fails.
func compress(writer *flate.Writer, data []byte) {
	_, _ = writer.Write(data)
	_ = writer.Close()
}

// inflate reverses deflate for at most limit bytes.
func inflate(compressed, dictionary []byte, limit int) ([]byte, error) {
	reader := flate.NewReaderDict(bytes.NewReader(compressed), dictionary)
	data, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress"), part.ErrCorrupt)
	}
	if len(data) > limit {
		return nil, errors.Wrapf(part.ErrCorrupt, "more than %d bytes", limit)
	}
	return data, nil
}
