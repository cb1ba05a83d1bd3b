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

// maxChunkBytes is the maximum size of a chunk before compression. maxOpenParts
// chunks and a head together stay below wire.MaxFrameBytes.
const maxChunkBytes = 64 << 10

// sendHeadOffer responds to a HeadRequest with the current head, compressed against
// the head of the requester if that is known here, and with the pending orders. A
// daemon without a head sends nothing.
func (c *Core) sendHeadOffer(to version.VMID, m wire.HeadRequest) {
	if c.current == nil {
		return
	}
	offer := wire.HeadOffer{Orders: wire.FromOrders(c.orders)}
	if m.Known != c.current.encoded.hash {
		base := c.earlierHead(m.Known)
		offer.Base = base.hash
		offer.Head = deflate(c.current.encoded.bytes, base.bytes)
	}
	c.send(to, offer)
}

// earlierHead returns the earlier head with the given hash, or an empty one.
func (c *Core) earlierHead(hash uint64) encodedHead {
	for _, head := range c.earlierHeads {
		if head.hash == hash {
			return head
		}
	}
	return encodedHead{}
}

// sendChunk responds to a PartRequest with a chunk of the part. The chunk is empty,
// with a total of 0, if the current head does not have the part.
func (c *Core) sendChunk(to version.VMID, m wire.PartRequest) {
	chunk := wire.PartChunk{SHA256: m.SHA256, Offset: m.Offset}
	data, present := c.Part(hex.EncodeToString(m.SHA256))
	if present && int(m.Offset) < len(data) {
		rest := data[m.Offset:]
		chunk.Total = uint32(len(data))
		chunk.Data = deflate(rest[:min(len(rest), maxChunkBytes)], nil)
	}
	c.send(to, chunk)
}

// writerPool holds compressors without a dictionary for reuse, as each takes much
// memory.
var writerPool = sync.Pool{New: func() any {
	// NewWriter only fails if the level is invalid.
	writer, _ := flate.NewWriter(nil, flate.DefaultCompression)
	return writer
}}

// deflate compresses data against a dictionary, which may be empty.
func deflate(data, dictionary []byte) []byte {
	var compressed bytes.Buffer
	if len(dictionary) > 0 {
		// NewWriterDict only fails if the level is invalid.
		writer, _ := flate.NewWriterDict(&compressed, flate.DefaultCompression, dictionary)
		compress(writer, data)
		return compressed.Bytes()
	}
	writer := writerPool.Get().(*flate.Writer)
	defer writerPool.Put(writer)
	writer.Reset(&compressed)
	compress(writer, data)
	return compressed.Bytes()
}

// compress writes data through a compressor to a buffer. Writing to a buffer never
// fails.
func compress(writer *flate.Writer, data []byte) {
	_, _ = writer.Write(data)
	_ = writer.Close()
}

// inflate decompresses data that deflate compressed against the same dictionary. It
// returns part.ErrCorrupt if the data is invalid or has more than limit bytes
// decompressed.
func inflate(compressed, dictionary []byte, limit int) ([]byte, error) {
	reader := flate.NewReaderDict(bytes.NewReader(compressed), dictionary)
	data, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress"), part.ErrCorrupt)
	}
	if len(data) > limit {
		return nil, errors.Wrapf(part.ErrCorrupt, "decompressed configuration data exceeds the limit of %d bytes", limit)
	}
	return data, nil
}
