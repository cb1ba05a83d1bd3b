package distribute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// snapshot is a head with its parts.
type snapshot struct {
	head    version.Head
	encoded encodedHead
	// parts holds the encoded and decoded the decoded parts by digest.
	parts   map[string][]byte
	decoded map[string]*version.Document
}

// encodedHead is a head as it stands in the platform.
type encodedHead struct {
	bytes []byte
	hash  uint64
}

func newEncodedHead(encoded []byte) encodedHead {
	return encodedHead{bytes: encoded, hash: max(xxhash.Sum64(encoded), 1)}
}

// newSnapshot returns a head without parts.
func newSnapshot(encoded []byte) (*snapshot, error) {
	head, err := part.DecodeHead(encoded)
	if err != nil {
		return nil, err
	}
	return &snapshot{
		head:    head,
		encoded: newEncodedHead(encoded),
		// An empty part has nothing to fetch.
		parts:   map[string][]byte{part.Digest(nil): {}},
		decoded: make(map[string]*version.Document, len(head.Parts)),
	}, nil
}

// adopt takes over the parts that an older snapshot has already.
func (s *snapshot) adopt(older *snapshot) {
	if older == nil {
		return
	}
	for _, ref := range s.head.Parts {
		data, present := older.parts[ref.SHA256]
		if _, have := s.parts[ref.SHA256]; !present || have {
			continue
		}
		s.parts[ref.SHA256] = data
		if decoded, present := older.decoded[ref.SHA256]; present {
			s.decoded[ref.SHA256] = decoded
		}
	}
}

// missing returns the parts that are not there yet.
func (s *snapshot) missing() []version.PartRef {
	var missing []version.PartRef
	for _, ref := range s.head.Parts {
		if _, present := s.parts[ref.SHA256]; !present {
			missing = append(missing, ref)
		}
	}
	return missing
}

// document joins the parts. A part is decoded, and checked against its digest,
// once.
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

// install puts a head in force if it is higher, complete and can be compiled.
func (c *Core) install(now time.Time, next *snapshot) {
	if next.head.Number <= c.Confirmed() {
		return
	}
	next.adopt(c.held)
	config, err := next.compile(c.orders)
	if err != nil {
		c.refused = max(c.refused, next.head.Number)
		c.act(Refuse{Number: next.head.Number, Err: err})
		return
	}
	if c.held != nil {
		c.earlier = append(c.earlier, c.held.encoded)
		c.earlier = c.earlier[max(0, len(c.earlier)-keptHeads):]
	}
	c.held, c.spare = next, nil
	c.orders = next.head.Pending(c.orders)
	c.apply(config)
	c.rumour(now)
}

// compile returns the configuration of the head under orders.
func (s *snapshot) compile(orders []version.Order) (*version.Config, error) {
	document, err := s.document()
	if err != nil {
		return nil, err
	}
	return version.Compile(document, s.head.Under(orders))
}

// enforce puts the held head in force under the present orders.
func (c *Core) enforce() {
	config, err := c.held.compile(c.orders)
	if err != nil {
		c.act(Refuse{Number: c.held.head.Number, Err: err})
		return
	}
	c.apply(config)
}

func (c *Core) apply(config *version.Config) {
	if c.config != nil && config.Number <= c.config.Number {
		return
	}
	c.config = config
	c.act(Apply{Config: config})
}
