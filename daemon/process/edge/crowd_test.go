package edge

import (
	"net"
	"net/http"
	"testing"
)

// counted is a connection that counts how often it is closed.
type counted struct {
	net.Conn
	closed *int
}

func (c counted) Close() error {
	*c.closed++
	return nil
}

// A VM of 112 MB ended for want of memory when the callers of others came to it.
func TestAHerdDoesNotTakeMoreThanItsPartOfTheConnections(t *testing.T) {
	c := newCrowd(8192, 100)
	closed := 0
	for range 500 {
		before := closed
		c.track(counted{closed: &closed}, http.StateNew)
		if closed > before {
			c.track(nil, http.StateClosed)
		}
	}
	if open := c.open.Load(); open != 150 || closed != 350 {
		t.Errorf("%d open, %d closed; want 150 and 350", open, closed)
	}
	if !c.full() {
		t.Error("connections are kept")
	}
	if c := newCrowd(100, 1000); c.limit != 40 {
		t.Errorf("limit %d with 100 descriptors", c.limit)
	}
}
