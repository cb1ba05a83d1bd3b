package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/resume"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// memberSoftwareName is the name of the object among the members that holds the record of the
	// software versions. Processes get it with the list of the members.
	memberSoftwareName = "software"
	// softwareTickInterval is the time between two messages on streams, and between two looks at
	// whether the record has to change.
	softwareTickInterval = 50 * time.Millisecond
	// softwareWriteDelay is how long a process other than the first member waits for others to
	// record a version that it needs, and softwareWriteSpread the time over which such processes
	// spread their writes.
	softwareWriteDelay  = 300 * time.Millisecond
	softwareWriteSpread = 300 * time.Millisecond
	// softwareRetryInterval is the pause after a write of the record.
	softwareRetryInterval = 200 * time.Millisecond
	// recordReadInterval is the shortest time between two reads of the record for streams that are
	// taken up, and recordReadTimeout limits one read.
	recordReadInterval = 20 * time.Millisecond
	recordReadTimeout  = 500 * time.Millisecond
	// answerFresh is how old an answer of the store may be when streams are about to go on.
	answerFresh = 40 * time.Millisecond
	// recordWait is how long after its start a process is not ready for want of a record, without
	// which it refuses streams that callers may take up.
	recordWait = 3 * time.Second
	// unknownStreamRetryAfter is when the caller of a stream that cannot be judged may come back.
	unknownStreamRetryAfter = 300 * time.Millisecond
)

// software is the daemon's part of what the fleet knows of software versions and of the streams that
// they began. It implements serve.Streams.
type software struct {
	daemon *Daemon
	// startedAt is when the process started.
	startedAt time.Time

	mu      sync.Mutex
	tracker *resume.Tracker
	// membersListed is set once the list of the members was read, with or without the record.
	membersListed bool
	// reading is the read of the record that is about to be sent; nil if there is none. lastRead
	// is when the last one was sent.
	reading  *recordRead
	lastRead time.Time
	// answeredAt is when the last read of the record was sent that the store has answered.
	answeredAt time.Time
	// resumed and unknown count the streams that were taken up, and those that were refused
	// because it is not known what began them.
	resumed, unknown uint64
}

// recordRead is a read of the record that several requests wait for.
type recordRead struct {
	done   chan struct{}
	record resume.Record
	era    uint64
	err    error
}

func newSoftware(d *Daemon) *software {
	return &software{daemon: d, startedAt: clock.Boot(), tracker: resume.New()}
}

// awaitsRecord reports whether the process has just started and knows no record yet.
func (s *software) awaitsRecord() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Record() == nil && clock.Boot().Sub(s.startedAt) < recordWait
}

// Begin implements serve.Streams.
func (s *software) Begin(stream resume.Stream, pool version.PoolID, software string, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Begin(clock.Boot(), stream, pool, software, attempt)
}

// Origin implements serve.Streams. What no VM has told is inferred from a record that is read after
// the request came: then no stream can have begun at a version that it lacks.
func (s *software) Origin(ctx context.Context, stream resume.Stream, pools []*version.Pool) (*version.Pool, string, *request.Refusal) {
	s.mu.Lock()
	origin, known := s.tracker.Origin(stream)
	s.mu.Unlock()
	if known {
		i := slices.IndexFunc(pools, func(pool *version.Pool) bool { return pool.Name == origin.Pool })
		if i < 0 || origin.Software == "" {
			return nil, "", s.count(unknownStream("another service, or an upstream of unknown version, began the stream"))
		}
		return pools[i], origin.Software, s.count(nil)
	}
	if len(pools) != 1 {
		return nil, "", s.count(unknownStream("several services may have begun the stream"))
	}
	software, refusal := s.inferVersion(ctx, pools[0])
	return pools[0], software, s.count(refusal)
}

// inferVersion returns the only version of a pool that can have begun a stream, or a refusal.
func (s *software) inferVersion(ctx context.Context, pool *version.Pool) (string, *request.Refusal) {
	s.mu.Lock()
	maybeOne := s.tracker.MayBeOneVersion(pool.Name)
	s.mu.Unlock()
	if maybeOne {
		record, era, err := s.readRecord(ctx)
		if err != nil {
			return "", unknownStream("the record of the software versions cannot be read")
		}
		if software, one := record.OnlyVersion(pool.Name, era); one {
			return software, nil
		}
	}
	return "", unknownStream("several software versions may have begun the stream")
}

// count counts a request that takes a stream up, and returns its refusal.
func (s *software) count(refusal *request.Refusal) *request.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal != nil {
		s.unknown++
	} else {
		s.resumed++
	}
	return refusal
}

func unknownStream(detail string) *request.Refusal {
	return &request.Refusal{
		Reason: request.ReasonStreamUnknown, Execution: request.NotExecuted, RetryAfter: unknownStreamRetryAfter, Detail: detail,
	}
}

// readRecord returns the record as the store has it after the call, and the era of the store.
// Requests that come together share a read.
func (s *software) readRecord(ctx context.Context) (resume.Record, uint64, error) {
	s.mu.Lock()
	read := s.reading
	if read == nil {
		read = &recordRead{done: make(chan struct{})}
		s.reading = read
		pause := max(recordReadInterval-clock.Boot().Sub(s.lastRead), 0)
		go s.read(read, pause)
	}
	s.mu.Unlock()
	select {
	case <-read.done:
		return read.record, read.era, read.err
	case <-ctx.Done():
		return resume.Record{}, 0, ctx.Err()
	}
}

// read reads the record after a pause. Requests that come once it is sent wait for the next one.
func (s *software) read(read *recordRead, pause time.Duration) {
	defer close(read.done)
	time.Sleep(pause)
	sentAt := clock.Boot()
	s.mu.Lock()
	s.reading, s.lastRead = nil, sentAt
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), recordReadTimeout)
	defer cancel()
	object, err := s.daemon.store.Get(ctx, platform.KindMember, memberSoftwareName)
	if err == nil || errors.Is(err, platform.ErrNotFound) {
		s.mu.Lock()
		if sentAt.After(s.answeredAt) {
			s.answeredAt = sentAt
		}
		s.mu.Unlock()
	}
	if err != nil {
		read.err = err
		return
	}
	read.era = object.Era
	if read.err = json.Unmarshal(object.Spec, &read.record); read.err == nil {
		s.adopt(read.record)
	}
}

// StoreAnsweredAt implements serve.Streams.
func (s *software) StoreAnsweredAt() time.Time {
	confirmed := s.daemon.mirror.Confirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answeredAt.After(confirmed) {
		return s.answeredAt
	}
	return confirmed
}

// AskStore implements serve.Streams.
func (s *software) AskStore(ctx context.Context) error {
	now := clock.Boot()
	if now.Sub(s.StoreAnsweredAt()) < answerFresh {
		return nil
	}
	_, _, err := s.readRecord(ctx)
	if s.StoreAnsweredAt().After(now) {
		// That the record is missing or malformed is an answer too.
		return nil
	}
	return err
}

// setRecord takes in the record from the list of the members; spec is nil if the store has none.
func (s *software) setRecord(spec []byte) {
	s.mu.Lock()
	s.membersListed = true
	s.mu.Unlock()
	if spec == nil {
		return
	}
	var record resume.Record
	if err := json.Unmarshal(spec, &record); err != nil {
		s.daemon.log.Warn("record of software versions is malformed, ignored", "error", err)
		return
	}
	s.adopt(record)
}

// adopt takes in a record, and applies it if it is new.
func (s *software) adopt(record resume.Record) {
	s.mu.Lock()
	adopted := s.tracker.Adopt(clock.Boot(), record)
	s.mu.Unlock()
	if !adopted {
		return
	}
	s.daemon.log.Info("software versions recorded", "pools", record.Pools, "certain", record.Certain, "era", record.Era, "seq", record.Seq)
	s.applyVersions()
}

// applyVersions tells the placer at which versions streams may begin.
func (s *software) applyVersions() {
	config := s.daemon.placing.Config()
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make(map[version.PoolID][]string)
	if record := s.tracker.Record(); record != nil && config != nil {
		for id, pool := range config.Pools {
			versions[id] = record.Pools[pool.Name]
		}
	}
	s.daemon.placing.SetStreamVersions(versions)
}

// configured takes in the upstreams that are registered.
func (s *software) configured(config *version.Config) {
	s.mu.Lock()
	s.tracker.Configure(clock.Boot(), config)
	s.mu.Unlock()
	s.applyVersions()
}

// run tells the other processes of streams, and keeps the record in the store, until ctx ends.
func (s *software) run(ctx context.Context) error {
	var neededSince, nextWrite time.Time
	delay := softwareWriteDelay + rand.N(softwareWriteSpread)
	for {
		if err := wait.Sleep(ctx, softwareTickInterval); err != nil {
			return err
		}
		s.tell()
		now := clock.Boot()
		era, _ := s.daemon.mirror.Era()
		s.mu.Lock()
		_, change := s.tracker.Wanted(now, era, s.daemon.settings.Load().FirstStart)
		listed := s.membersListed
		s.mu.Unlock()
		switch {
		case !listed || change == resume.ChangeNone || s.daemon.leaving.Load():
			neededSince = time.Time{}
			continue
		case neededSince.IsZero():
			neededSince = now
		}
		if now.Before(nextWrite) || !s.daemon.isFirstMember.Load() && (change == resume.ChangeTidy || now.Sub(neededSince) < delay) {
			continue
		}
		if err := s.writeRecord(ctx); err != nil {
			s.daemon.log.Warn("cannot record the software versions, will retry", "error", err)
		}
		nextWrite = clock.Boot().Add(softwareRetryInterval)
	}
}

// writeRecord brings the record in the store up to date, on top of what others have written.
func (s *software) writeRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	object, err := s.daemon.store.Get(ctx, platform.KindMember, memberSoftwareName)
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		return err
	}
	if !missing {
		var stored resume.Record
		if err := json.Unmarshal(object.Spec, &stored); err != nil {
			s.daemon.log.Warn("record of software versions is malformed, ignored", "error", err)
		} else {
			s.adopt(stored)
		}
	}
	s.mu.Lock()
	record, change := s.tracker.Wanted(clock.Boot(), object.Era, s.daemon.settings.Load().FirstStart)
	s.mu.Unlock()
	if change == resume.ChangeNone && !missing {
		return nil
	}
	spec, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	if missing {
		_, err = s.daemon.store.Create(ctx, platform.KindMember, memberSoftwareName, spec)
	} else {
		_, err = s.daemon.store.Replace(ctx, platform.KindMember, memberSoftwareName, spec, object.Revision)
	}
	if err != nil {
		return err
	}
	s.adopt(record)
	s.send(s.daemon.settings.Load().VM, wire.SoftwareRecord{Spec: spec})
	return nil
}

// tell tells the other processes of the streams that have begun here.
func (s *software) tell() {
	s.mu.Lock()
	messages := s.tracker.Tick()
	s.mu.Unlock()
	for _, message := range messages {
		s.send(s.daemon.settings.Load().VM, message)
	}
}

// send passes on a message that came from a VM, or is this VM's own.
func (s *software) send(from version.VMID, message wire.Message) {
	peers := s.daemon.peers.Load()
	if peers == nil {
		return
	}
	for _, vm := range s.daemon.placing.Relays(from) {
		// A process that misses a message refuses what it does not know, or reads the record.
		peers.Send(vm, message)
	}
}

// linkUp tells a process that has just been linked what this one knows.
func (s *software) linkUp(vm version.VMID) {
	peers := s.daemon.peers.Load()
	if peers == nil {
		return
	}
	s.mu.Lock()
	messages, record := s.tracker.All(), s.tracker.Record()
	s.mu.Unlock()
	if record != nil {
		if spec, err := json.Marshal(record); err == nil {
			peers.Send(vm, wire.SoftwareRecord{Spec: spec})
		}
	}
	for _, message := range messages {
		peers.Send(vm, message)
	}
}

// receiveOrigins adds the streams that another process tells of, and passes them on.
func (s *software) receiveOrigins(from version.VMID, message wire.StreamOrigins) {
	s.mu.Lock()
	added := s.tracker.Merge(clock.Boot(), message)
	s.mu.Unlock()
	if len(added.Groups) > 0 {
		s.send(from, added)
	}
}

// receiveRecord takes in a record that another process tells of, and passes it on if it is new.
func (s *software) receiveRecord(from version.VMID, message wire.SoftwareRecord) {
	var record resume.Record
	if err := json.Unmarshal(message.Spec, &record); err != nil {
		s.daemon.log.Warn("record of software versions is malformed, ignored", "peer", from, "error", err)
		return
	}
	s.mu.Lock()
	known := s.tracker.Record()
	s.mu.Unlock()
	s.adopt(record)
	s.mu.Lock()
	isNew := s.tracker.Record() != known
	s.mu.Unlock()
	if isNew {
		s.send(from, message)
	}
}

// status returns what this process knows, for operators.
func (s *software) status() operator.SoftwareStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := operator.SoftwareStatus{
		VM: s.daemon.settings.Load().VM, Versions: append([]resume.PoolVersion{}, s.tracker.Versions()...),
		Streams: s.tracker.Streams(), Resumed: s.resumed, Unknown: s.unknown,
	}
	if record := s.tracker.Record(); record != nil {
		status.Certain = record.Certain
	}
	return status
}
