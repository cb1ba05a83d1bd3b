package distribute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// snapshot is a head with those of its parts that are present.
type snapshot struct {
	head    version.Head
	encoded encodedHead
	// parts holds the encoded parts by digest, and decoded those that have been
	// decoded.
	parts   map[string][]byte
	decoded map[string]*version.Document
}

// encodedHead is a head as the platform stores it, with its hash, which is never 0.
type encodedHead struct {
	bytes []byte
	hash  uint64
}

func newEncodedHead(encoded []byte) encodedHead {
	return encodedHead{bytes: encoded, hash: max(xxhash.Sum64(encoded), 1)}
}

// newSnapshot decodes a head and returns a snapshot without parts.
func newSnapshot(encoded []byte) (*snapshot, error) {
	head, err := part.DecodeHead(encoded)
	if err != nil {
		return nil, err
	}
	return &snapshot{
		head:    head,
		encoded: newEncodedHead(encoded),
		// An empty part need not be fetched.
		parts:   map[string][]byte{part.Digest(nil): {}},
		decoded: make(map[string]*version.Document, len(head.Parts)),
	}, nil
}

// reuseParts copies the parts that an older snapshot has and s lacks. older may be
// nil.
func (s *snapshot) reuseParts(older *snapshot) {
	if older == nil {
		return
	}
	for _, ref := range s.head.Parts {
		data, present := older.parts[ref.SHA256]
		if _, exists := s.parts[ref.SHA256]; !present || exists {
			continue
		}
		s.parts[ref.SHA256] = data
		if decoded, present := older.decoded[ref.SHA256]; present {
			s.decoded[ref.SHA256] = decoded
		}
	}
}

// missingParts returns the references of the parts that are not present.
func (s *snapshot) missingParts() []version.PartRef {
	var missing []version.PartRef
	for _, ref := range s.head.Parts {
		if _, present := s.parts[ref.SHA256]; !present {
			missing = append(missing, ref)
		}
	}
	return missing
}

// document joins the parts, all of which must be present. Each part is decoded and
// checked against its digest only once.
func (s *snapshot) document() (*version.Document, error) {
	var document version.Document
	for _, ref := range s.head.Parts {
		decoded, present := s.decoded[ref.SHA256]
		if !present {
			var err error
			if decoded, err = part.Decode(ref, s.parts[ref.SHA256]); err != nil {
				return nil, err
			}
			s.decoded[ref.SHA256] = decoded
		}
		document.Append(*decoded)
	}
	return &document, nil
}

// install makes a head the current one and applies it, if its number is higher
// than that of the current head, all its parts are present and it can be compiled.
// Otherwise the current head stays.
func (c *Core) install(now time.Time, next *snapshot) {
	if next.head.Number <= c.HeadNumber() {
		return
	}
	next.reuseParts(c.current)
	config, err := next.compile(c.orders)
	if err != nil {
		c.rejectedNumber = max(c.rejectedNumber, next.head.Number)
		c.addAction(ReportRejectedHead{Number: next.head.Number, Err: err})
		return
	}
	if c.current != nil {
		c.earlierHeads = append(c.earlierHeads, c.current.encoded)
		c.earlierHeads = c.earlierHeads[max(0, len(c.earlierHeads)-maxEarlierHeads):]
	}
	c.current, c.partial = next, nil
	c.orders = next.head.Pending(c.orders)
	c.applyConfig(config)
	c.announceToSome(now)
}

// compile returns the configuration of the head with orders applied.
func (s *snapshot) compile(orders []version.Order) (*version.Config, error) {
	document, err := s.document()
	if err != nil {
		return nil, err
	}
	return version.Compile(document, s.head.WithOrders(orders))
}

// applyOrders applies the current head with the pending orders.
func (c *Core) applyOrders() {
	config, err := c.current.compile(c.orders)
	if err != nil {
		c.addAction(ReportRejectedHead{Number: c.current.head.Number, Err: err})
		return
	}
	c.applyConfig(config)
}

// applyConfig makes a configuration the active one if its number is higher.
func (c *Core) applyConfig(config *version.Config) {
	if c.config != nil && config.Number <= c.config.Number {
		return
	}
	c.config = config
	c.addAction(Apply{Config: config})
}
