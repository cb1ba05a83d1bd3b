package change

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// Restore writes a head and its parts that the platform has lost, in place of the head with the
// expected version; 0 if there is none. The head keeps its number. It returns ErrConflict if the
// platform has another head by then.
func (c *Changer) Restore(ctx context.Context, encoded []byte, parts map[string][]byte, expected objectstore.ObjectVersion) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	head, err := part.DecodeHead(encoded)
	if err != nil {
		return err
	}
	for _, ref := range head.Parts {
		data, known := parts[ref.SHA256]
		if !known {
			return errors.Newf("part %s of version %d is not known", ref.SHA256, head.Number)
		}
		if err := c.writePart(ctx, part.Part{Ref: ref, Data: data}); err != nil {
			return errors.Wrapf(unavailable(err), "write part %q", ref.Name)
		}
	}
	return c.writeHead(ctx, head, expected)
}
