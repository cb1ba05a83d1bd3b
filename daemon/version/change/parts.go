package change

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/version/objects"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// writeParts writes the parts that the previous head does not name.
func (c *Changer) writeParts(ctx context.Context, previous version.Head, parts []part.Part) error {
	stored := make(map[string]bool, len(previous.Parts))
	for _, ref := range previous.Parts {
		stored[ref.SHA256] = true
	}
	for _, p := range parts {
		if stored[p.Ref.SHA256] {
			continue
		}
		stored[p.Ref.SHA256] = true
		if err := c.writePart(ctx, p); err != nil {
			return errors.Wrapf(unavailable(err), "write part %q", p.Ref.Name)
		}
	}
	return nil
}

// writePart stores a part and ensures that it is not removed as unused before the head
// names it. A part that exists already is written again, so that its removal, which is
// conditional on the object's version, fails.
func (c *Changer) writePart(ctx context.Context, p part.Part) error {
	write := objectstore.Write{Key: objects.PartKey(p.Ref.SHA256), Value: p.Data}
	write.Matches = func(object objectstore.Object) bool {
		return object.Version != write.Expected && bytes.Equal(object.Value, p.Data)
	}
	for range c.options.Retry.Attempts {
		_, err := objectstore.PutConfirmed(ctx, c.options.Store, write, c.options.Retry)
		if !errors.Is(err, objectstore.ErrConflict) {
			return err
		}
		object, err := c.options.Store.Get(ctx, write.Key)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
		write.Expected = object.Version
	}
	return errors.Wrap(objectstore.ErrUnavailable, "the part was changed by others at every attempt")
}
