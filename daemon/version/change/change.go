// Package change makes changes of the configuration in the platform. Each change is one
// conditional update of the configuration head.
//
// Changes that operators make at the same time are never merged: the second one fails with
// a conflict, and its operator has to look at the first one. If the answer to a write is
// lost, its outcome is found by reading the head back and looking for the operation's
// identifier.
package change

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/version/objects"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// changeTimeout bounds one change. It is far below garbageAge, so that no part is removed
// between the write of the part and the write of the head that names it.
const changeTimeout = 5 * time.Minute

var (
	// ErrConflict is returned if another change was made first. Nothing was changed.
	ErrConflict = errors.New("another change was made first")
	// ErrUnconfirmed is returned if it is unknown whether the change was made, because the
	// platform did not confirm it.
	ErrUnconfirmed = errors.New("the platform did not confirm the change")
	// ErrUnavailable is returned if the platform could not be reached. Nothing was changed.
	ErrUnavailable = errors.New("the platform cannot be reached")
	// ErrInvalid is returned for a change that does not result in a valid configuration.
	// Nothing was changed.
	ErrInvalid = errors.New("the change is not valid")
	// ErrNoConfiguration is returned by Read if the platform has no configuration yet.
	ErrNoConfiguration = errors.New("there is no configuration yet")
)

// State is a configuration with its head, as an edit changes it.
type State struct {
	Head     version.Head
	Document *version.Document
}

// Options configure a Changer.
type Options struct {
	Store objectstore.Store
	// Retry sets the pauses and attempts for finding the outcome of a write whose answer
	// was lost; default objectstore.DefaultRetry.
	Retry objectstore.Retry
	// Now returns the present time; default time.Now.
	Now func() time.Time
}

// Changer reads and changes the configuration in the platform.
type Changer struct {
	options Options
}

// New returns a changer.
func New(options Options) *Changer {
	if options.Retry == (objectstore.Retry{}) {
		options.Retry = objectstore.DefaultRetry
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Changer{options: options}
}

// Read returns the configuration in the platform.
func (c *Changer) Read(ctx context.Context) (State, error) {
	state, _, err := c.read(ctx)
	return state, err
}

func (c *Changer) read(ctx context.Context) (State, objectstore.ObjectVersion, error) {
	object, err := c.options.Store.Get(ctx, objects.HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return State{Document: &version.Document{}}, 0, ErrNoConfiguration
	}
	if err != nil {
		return State{}, 0, unavailable(err)
	}
	head, err := part.DecodeHead(object.Value)
	if err != nil {
		return State{}, 0, err
	}
	document, err := objects.Document(ctx, c.options.Store, head)
	if err != nil {
		return State{}, 0, unavailable(err)
	}
	return State{Head: head, Document: document}, object.Version, nil
}

// Change reads the configuration, calls edit to modify it and writes the result. It returns
// the head that the platform confirmed. If there is no configuration yet, edit gets an
// empty state with the number 0. Edit may raise the number; the new version has the next
// one. An error of edit ends the change.
func (c *Changer) Change(ctx context.Context, edit func(*State) error) (version.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	state, expected, err := c.read(ctx)
	if err != nil && !errors.Is(err, ErrNoConfiguration) {
		return version.Head{}, err
	}
	before := state.Head
	if err := edit(&state); err != nil {
		return version.Head{}, err
	}
	parts, err := check(&state)
	if err != nil {
		return version.Head{}, err
	}
	if err := c.writeParts(ctx, before, parts); err != nil {
		return version.Head{}, err
	}
	state.Head.Number = max(state.Head.Number, before.Number)
	next := state.Head.Next(uuid.NewString())
	return next, c.writeHead(ctx, next, expected)
}

// Absorb writes orders into the head that daemons accepted directly from operators, as one
// change. It writes nothing if the head has absorbed all of them.
func (c *Changer) Absorb(ctx context.Context, orders []version.Order) (version.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	object, err := c.options.Store.Get(ctx, objects.HeadKey)
	if err != nil {
		return version.Head{}, unavailable(err)
	}
	head, err := part.DecodeHead(object.Value)
	if err != nil {
		return version.Head{}, err
	}
	if len(head.Pending(orders)) == 0 {
		return head, nil
	}
	next := head.Absorb(orders).WithOperation(uuid.NewString())
	return next, c.writeHead(ctx, next, object.Version)
}

// check validates a state, splits its document into parts and sets their references in the
// head.
func check(state *State) ([]part.Part, error) {
	if problems := state.Document.Validate(); len(problems) > 0 {
		return nil, errors.Wrapf(ErrInvalid, "%s", problems[0].Text)
	}
	parts, err := part.Split(state.Document)
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	if len(parts) > part.MaxParts {
		return nil, errors.Wrapf(ErrInvalid, "the configuration has too many parts: %d", len(parts))
	}
	state.Head.Parts = part.Refs(parts)
	if _, err := version.Compile(state.Document, state.Head); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	return parts, nil
}

// writeHead makes the change by one conditional update of the head.
func (c *Changer) writeHead(ctx context.Context, head version.Head, expected objectstore.ObjectVersion) error {
	encoded, err := json.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode configuration head")
	}
	_, err = objectstore.PutConfirmed(ctx, c.options.Store, objectstore.Write{
		Key:      objects.HeadKey,
		Value:    encoded,
		Expected: expected,
		Matches: func(object objectstore.Object) bool {
			found, err := part.DecodeHead(object.Value)
			return err == nil && found.IncludesOperation(head.Operation)
		},
	}, c.options.Retry)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, objectstore.ErrConflict):
		return errors.Mark(errors.Newf("version %d was not written: the configuration has changed meanwhile", head.Number), ErrConflict)
	case errors.Is(err, objectstore.ErrUnconfirmed):
		return errors.Mark(errors.Wrapf(err, "operation %s", head.Operation), ErrUnconfirmed)
	default:
		return unavailable(err)
	}
}

// unavailable marks errors of the platform's client as ErrUnavailable if the platform did
// not answer in time or rejected the call because of its rate limit.
func unavailable(err error) error {
	if errors.IsAny(err, objectstore.ErrUnavailable, objectstore.ErrRateLimited, context.DeadlineExceeded) {
		return errors.Mark(err, ErrUnavailable)
	}
	return err
}

// ExpectNumber returns ErrConflict unless the state has the version number that the
// operator has seen.
func (s *State) ExpectNumber(number version.Number) error {
	if s.Head.Number == number {
		return nil
	}
	return errors.Mark(fmt.Errorf("the configuration has version %d, expected %d", s.Head.Number, number), ErrConflict)
}
