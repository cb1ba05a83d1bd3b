package part

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// largeDocument returns a document of the size that the fleet is built for: 990
// accounts and 11,000 upstreams.
func largeDocument() *version.Document {
	document := &version.Document{Presets: []version.PresetSpec{{Name: "ordinary"}}}
	for i := range 12 {
		document.DataCentres = append(document.DataCentres, version.DataCentreSpec{Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("region-%d", i/4)})
		document.Pools = append(document.Pools, version.PoolSpec{Name: fmt.Sprintf("pool-%d", i), Kind: version.PoolModel, Models: []string{fmt.Sprintf("model-%d", i)}})
	}
	peak := version.PresetSpec{Name: "peak", LimitScale: 1.5, Weights: make(map[string]float64)}
	for i := range 990 {
		name := fmt.Sprintf("client-account-%d", i)
		document.Accounts = append(document.Accounts, version.AccountSpec{Name: name, Weight: 2, KeyDigests: []string{version.KeyDigest(name)}, MaxWaiting: 500})
		peak.Weights[name] = 3
	}
	document.Presets = append(document.Presets, peak)
	for i := range 11_000 {
		lent := 0.75
		document.Upstreams = append(document.Upstreams, version.UpstreamSpec{
			Name: fmt.Sprintf("upstream-of-a-team-%d", i), Pool: fmt.Sprintf("pool-%d", i%12), DataCentre: fmt.Sprintf("dc-%d", i/1000),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Team: fmt.Sprintf("team-%d", i%40),
			LentShare: &lent, ColdLimit: 2, WarmLimit: 64, ChecksFencing: true,
		})
	}
	return document
}

// partStore holds the data of parts by digest.
type partStore map[string][]byte

// add stores the parts and returns how many of them are new.
func (s partStore) add(parts []Part) (newParts int) {
	for _, p := range parts {
		if _, present := s[p.Ref.SHA256]; !present {
			s[p.Ref.SHA256] = p.Data
			newParts++
		}
	}
	return newParts
}

func (s partStore) lookup(digest string) ([]byte, bool) { data, ok := s[digest]; return data, ok }

// TestALargeDocumentFitsTheLimits guards against parts or a head that the platform
// cannot store at the size that the fleet is built for.
func TestALargeDocumentFitsTheLimits(t *testing.T) {
	document := largeDocument()
	if problems := document.Validate(); len(problems) > 0 {
		t.Fatal(problems[0])
	}
	parts, err := Split(document)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for _, p := range parts {
		total += len(p.Data)
		if len(p.Data) > MaxBytes {
			t.Errorf("part %s has %d bytes, more than MaxBytes", p.Ref.Name, len(p.Data))
		}
	}
	head := version.Head{Number: 1, Preset: "peak", Parts: Refs(parts)}
	encoded, err := json.Marshal(head)
	if err != nil || len(encoded) > MaxBytes || len(parts) > MaxParts {
		t.Errorf("head of %d bytes with %d parts is over the limits, or not encoded: %v", len(encoded), len(parts), err)
	}
	t.Logf("%d parts of %d bytes in total, head of %d bytes", len(parts), total, len(encoded))
	stored := make(partStore)
	stored.add(parts)
	joined, err := Join(head, stored.lookup)
	if err != nil {
		t.Fatal(err)
	}
	config, err := version.Compile(joined, head)
	if err != nil || len(config.Accounts) != 990 || len(config.Upstreams) != 11_000 {
		t.Errorf("compiled %d accounts and %d upstreams, want 990 and 11,000; error: %v", len(config.Accounts), len(config.Upstreams), err)
	}
}

// TestAChangeOfOneUpstreamChangesOnePart guards against a small change that every
// daemon has to fetch many parts for.
func TestAChangeOfOneUpstreamChangesOnePart(t *testing.T) {
	document := largeDocument()
	stored := make(partStore)
	parts, err := Split(document)
	if err != nil {
		t.Fatal(err)
	}
	stored.add(parts)
	document.Upstreams[77].WarmLimit = 32
	document.Upstreams = append(document.Upstreams[:5], document.Upstreams[4:]...)
	document.Upstreams[4].Name = "a-new-upstream"
	changed, err := Split(document)
	if err != nil {
		t.Fatal(err)
	}
	if newParts := stored.add(changed); newParts < 1 || newParts > 2 {
		t.Errorf("%d new parts for two changed upstreams, want one or two", newParts)
	}
	if newParts := stored.add(changed); newParts != 0 {
		t.Errorf("splitting the same document again gave %d new parts, want none", newParts)
	}
}

func TestSplitRejectsATooLargePart(t *testing.T) {
	weights := make(map[string]float64)
	for i := range 20_000 {
		weights[fmt.Sprintf("%064d", i)] = 1
	}
	_, err := Split(&version.Document{Presets: []version.PresetSpec{{Name: "p", Weights: weights}}})
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("Split of a too large preset: got %v, want ErrTooLarge", err)
	}
}

func TestJoinRejectsAMissingOrChangedPart(t *testing.T) {
	parts, err := Split(&version.Document{Presets: []version.PresetSpec{{Name: "p"}}})
	if err != nil {
		t.Fatal(err)
	}
	head := version.Head{Parts: Refs(parts)}
	if _, err := Join(head, partStore{}.lookup); !errors.Is(err, ErrCorrupt) {
		t.Errorf("Join with a missing part: got %v, want ErrCorrupt", err)
	}
	stored := make(partStore)
	stored.add(parts)
	stored[parts[0].Ref.SHA256] = []byte("# changed")
	if _, err := Join(head, stored.lookup); !errors.Is(err, ErrCorrupt) {
		t.Errorf("Join with a changed part: got %v, want ErrCorrupt", err)
	}
}

// TestSplitAndJoinKeepEveryElement splits and joins random documents and checks
// that no account, upstream or preset is lost or changed.
func TestSplitAndJoinKeepEveryElement(t *testing.T) {
	name := rapid.StringMatching(`[a-z][a-z0-9-]{0,12}`)
	rapid.Check(t, func(t *rapid.T) {
		document := &version.Document{Presets: []version.PresetSpec{{Name: "ordinary", LimitScale: rapid.Float64Range(0.01, 100).Draw(t, "scale")}}}
		for _, n := range rapid.SliceOfNDistinct(name, 0, 12, rapid.ID[string]).Draw(t, "accounts") {
			document.Accounts = append(document.Accounts, version.AccountSpec{Name: n, Weight: rapid.Float64Range(1e-9, 1e6).Draw(t, "weight"), KeyDigests: []string{version.KeyDigest(n)}})
		}
		for _, n := range rapid.SliceOfNDistinct(name, 0, 12, rapid.ID[string]).Draw(t, "upstreams") {
			share := rapid.Float64Range(0, 1).Draw(t, "share")
			document.Upstreams = append(document.Upstreams, version.UpstreamSpec{Name: n, Pool: "p", DataCentre: "d", Address: n + ":1", LentShare: &share})
		}
		parts, err := Split(document)
		if err != nil {
			t.Fatal(err)
		}
		stored := make(partStore)
		stored.add(parts)
		joined, err := Join(version.Head{Parts: Refs(parts)}, stored.lookup)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := summary(joined), summary(document); !reflect.DeepEqual(got, want) {
			t.Fatalf("joined document: got %v\nwant %v", got, want)
		}
	})
}

// summary returns texts of a document's accounts, upstreams and presets by section
// and name.
func summary(document *version.Document) map[string]string {
	items := make(map[string]string)
	for _, spec := range document.Accounts {
		items["account "+spec.Name] = fmt.Sprintf("%+v", spec)
	}
	for _, spec := range document.Upstreams {
		share := *spec.LentShare
		spec.LentShare = nil
		items["upstream "+spec.Name] = fmt.Sprintf("%+v %v", spec, share)
	}
	for _, spec := range document.Presets {
		items["preset "+spec.Name] = strings.TrimSpace(fmt.Sprintf("%v", spec.LimitScale))
	}
	return items
}
