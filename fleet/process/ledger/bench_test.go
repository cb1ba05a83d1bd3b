package ledger

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// BenchmarkClaim measures the processor time of one claim and its outcome in the
// decision core of a daemon that is entry and writer at once, in batches of 5.
func BenchmarkClaim(b *testing.B) {
	const batch = 5
	now := modelStart
	l := New(Options{VM: "a", Start: now})
	store := map[string]storedObject{}
	body := make([]byte, 300)
	var submitted []claim.Claim
	var bytesWritten, writes int
	keys := uint64(0)
	for b.Loop() {
		key := claim.NewKey(now, benchRandom(&keys))
		for LogIDOf(1, key).Shard != 0 {
			key = claim.NewKey(now, benchRandom(&keys))
		}
		c := claim.Claim{Account: 1, Key: key, Attempt: benchAttempt(keys)}
		submitted = append(submitted, c)
		l.Step(now, Submit{Claim: c, Deadline: now.Add(time.Minute)})
		if len(submitted) < batch {
			continue
		}
		now = now.Add(l.writeInterval)
		l.Tick(now)
		for {
			actions := l.Ready()
			if len(actions) == 0 {
				break
			}
			for _, action := range actions {
				if a, ok := action.(Write); ok {
					writes++
					bytesWritten += len(a.Value)
					version := store[a.Name].Version + 1
					store[a.Name] = storedObject{Version: version}
					l.Step(now, WriteDone{Operation: a.Operation, Version: version})
				}
			}
		}
		for _, done := range submitted {
			l.Step(now, Finish{Claim: done, Answer: &claim.Answer{Status: 201, Body: body}})
		}
		submitted = submitted[:0]
	}
	b.ReportMetric(float64(bytesWritten)/float64(b.N), "store-B/claim")
	b.ReportMetric(float64(writes)/float64(b.N), "writes/claim")
}

// benchRandom increments n and returns it as a key's random bits.
func benchRandom(n *uint64) (random [10]byte) {
	*n++
	binary.BigEndian.PutUint64(random[2:], *n)
	return random
}

func benchAttempt(n uint64) (id uuid.UUID) {
	binary.BigEndian.PutUint64(id[8:], n)
	return id
}
