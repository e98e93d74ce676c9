package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// snapshotFormat is raised when the meaning of a snapshot changes.
const snapshotFormat = 1

// snapshotImage is the encoded form of the durable state.
type snapshotImage struct {
	Format     int                `cbor:"1,keyasint"`
	Jobs       []*job             `cbor:"2,keyasint"` // in the order of their identifiers
	Drained    []structs.WorkerID `cbor:"3,keyasint"`
	Quarantine []quarantineEntry  `cbor:"4,keyasint"`
}

type quarantineEntry struct {
	Worker structs.WorkerID `cbor:"1,keyasint"`
	State  quarantineState  `cbor:"2,keyasint"`
}

// canonicalEncoding encodes equal states as equal bytes.
var canonicalEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// Snapshot encodes the durable state, which includes all records up to
// Sequence. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	img := snapshotImage{Format: snapshotFormat, Drained: slices.Sorted(maps.Keys(s.drained))}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		img.Jobs = append(img.Jobs, s.jobs[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.quarantine)) {
		img.Quarantine = append(img.Quarantine, quarantineEntry{id, s.quarantine[id]})
	}
	data, err := canonicalEncoding.Marshal(img)
	if err != nil {
		return nil, errs.Wrap(err, errs.Failed, "report this bug", "encode snapshot of shard %q", s.cfg.Shard)
	}
	return data, nil
}

// Restore rebuilds the state of a shard from a snapshot, which may be empty,
// and the records after it. Placed tasks may still run until
// cfg.PreviousHorizon and keep their resources until their workers report
// otherwise.
func Restore(cfg Config, snapshot []byte, records []Record) (*State, error) {
	s := New(cfg)
	if len(snapshot) > 0 {
		if err := s.load(snapshot); err != nil {
			return nil, err
		}
	}
	for i := range records {
		s.apply(&records[i])
	}
	s.newTasks = nil
	s.dequeued = nil
	s.rebuild()
	return s, nil
}

func (s *State) load(snapshot []byte) error {
	var img snapshotImage
	if err := cbor.Unmarshal(snapshot, &img); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "use the previous snapshot", "decode the snapshot of shard %s", s.cfg.Shard)
	}
	if img.Format != snapshotFormat {
		return errs.New(errs.InvalidInput, "run a version that knows the format", "snapshot of shard %s has format %d, not %d", s.cfg.Shard, img.Format, snapshotFormat)
	}
	for _, j := range img.Jobs {
		s.jobs[j.Spec.ID] = j
		for _, t := range j.Tasks {
			t.job = j
			if t.Phase != phaseEnded || !j.isOver() {
				s.tasks[t.ID] = t
			}
		}
	}
	for _, id := range img.Drained {
		s.drained[id] = true
	}
	for _, q := range img.Quarantine {
		s.quarantine[q.Worker] = q.State
	}
	return nil
}

// rebuild derives the volatile state from the durable state.
func (s *State) rebuild() {
	for id := range s.drained {
		s.index.SetSchedulable(id, false)
	}
	for id := range s.quarantine {
		s.index.SetSchedulable(id, false)
	}
	for _, j := range s.jobsInOrder() {
		for _, t := range j.Tasks {
			if t.Phase == phasePlaced {
				s.restoreAttempt(t)
			}
		}
		s.requeuePending(j)
		s.trackRolling(j)
		s.trackEnded(j)
	}
	slices.SortStableFunc(s.ended, func(a, b endedJob) int { return cmp.Compare(a.at, b.at) })
}

// restoreAttempt restores an attempt of the previous owner, whose state is
// unconfirmed until its worker reports.
func (s *State) restoreAttempt(t *task) {
	a := &attempt{
		durable: true, sent: true, unconfirmed: true, runningSince: t.Started,
		leaseEnd: s.cfg.PreviousHorizon, reserved: t.Reserved,
	}
	if t.job.Cancelled {
		a.stopReason = stopFinal
	}
	s.index.Adopt(t.Worker, t.Reserved, t.job.spreadKey())
	s.attachAttempt(t, a)
	s.scheduleExpiry(t)
}

// jobsInOrder returns the jobs in the order of their acceptance.
func (s *State) jobsInOrder() []*job {
	out := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.Spec.Accepted, b.Spec.Accepted), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return out
}
