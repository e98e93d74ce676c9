package scheduler

import (
	"slices"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// stallAfter is the age of an uncommitted append after which the journal
// counts as stalled: nothing new is placed or accepted until it catches up.
// It is below the start window, so starts recorded before a short stall can
// still be sent.
const stallAfter = 2 * time.Second

// Reduce applies one event at now and returns the effects. Time does not go
// back: a now earlier than a previous one is replaced by the latest one.
func (s *State) Reduce(now structs.Timestamp, ev structs.Event) []structs.Effect {
	s.now = max(s.now, now)
	s.dispatch(ev)
	s.schedule(ev)
	return s.flush()
}

func (s *State) dispatch(ev structs.Event) {
	switch e := ev.(type) {
	case SubmitJob:
		s.submit(e)
	case CancelJob:
		s.cancel(e)
	case DrainWorker:
		s.drainWorker(e)
	case ConfirmStopped:
		s.confirmStopped(e)
	case WorkersListed:
		s.updateWorkers(e.Workers)
	case WorkerReported:
		s.applyReport(&e.Report)
	case WorkerUnreachable:
		s.callFailed(e.Worker)
	case Committed:
		s.commit(e.Sequence)
	case HorizonExtended:
		s.horizon = max(s.horizon, e.Until)
		s.passNeeded = true
	case PolicyChanged:
		s.changePolicy(e.Policy)
	case Tick:
		s.tick()
	}
}

// tick performs the work that is due at the current time.
func (s *State) tick() {
	s.callDueWorkers()
	s.endExpiredAttempts()
	s.rollServices()
	s.updateProbeTargets()
	s.removeEndedJobs()
}

// record applies a new decision, adds it to the Append effect of this call and
// updates the queue.
func (s *State) record(r Record) {
	s.apply(&r)
	s.records = append(s.records, r)
	for _, id := range s.dequeued {
		s.queue.Remove(id)
	}
	clear(s.dequeued)
	s.dequeued = s.dequeued[:0]
	newTasks := s.newTasks
	s.newTasks = nil
	for _, t := range newTasks {
		s.enqueue(t)
	}
}

// nextSequence returns the sequence of the records of this call.
func (s *State) nextSequence() uint64 { return s.sequence + 1 }

// lastSequence returns the sequence of the latest record, in this call or an
// earlier one.
func (s *State) lastSequence() uint64 {
	if len(s.records) > 0 {
		return s.nextSequence()
	}
	return s.sequence
}

// afterCommit defers the effect d until the records of this call are committed.
func (s *State) afterCommit(d deferredEffect) {
	d.sequence = s.nextSequence()
	s.deferred = append(s.deferred, d)
}

// replyAfter sends a reply once the sequence is committed.
func (s *State) replyAfter(sequence uint64, r Reply) {
	if sequence <= s.committed {
		s.effects = append(s.effects, r)
		return
	}
	if sequence == s.nextSequence() {
		s.afterCommit(deferredEffect{reply: &r})
		return
	}
	// Insert the reply in the order of sequences.
	at := len(s.deferred)
	for at > 0 && s.deferred[at-1].sequence > sequence {
		at--
	}
	s.deferred = append(s.deferred, deferredEffect{})
	copy(s.deferred[at+1:], s.deferred[at:])
	s.deferred[at] = deferredEffect{sequence: sequence, reply: &r}
}

func (s *State) replyError(call CallID, err error) {
	s.effects = append(s.effects, Reply{Call: call, Err: err})
}

// commit releases the effects of all records up to the sequence.
func (s *State) commit(sequence uint64) {
	if sequence <= s.committed || sequence > s.sequence {
		return
	}
	s.committed = sequence
	n := 0
	for n < len(s.inFlight) && s.inFlight[n].sequence <= sequence {
		n++
	}
	s.inFlight = s.inFlight[n:]
	n = 0
	for n < len(s.deferred) && s.deferred[n].sequence <= sequence {
		s.release(&s.deferred[n])
		n++
	}
	s.deferred = s.deferred[n:]
	s.passNeeded = true
}

func (s *State) release(d *deferredEffect) {
	switch {
	case d.reply != nil:
		s.effects = append(s.effects, *d.reply)
	case d.start != nil:
		s.sendStart(d.start, d.attempt)
	default:
		s.acknowledge(d.worker, d.ack)
	}
}

// acknowledge adds the acknowledgement to the next call to the worker.
func (s *State) acknowledge(id structs.WorkerID, ref provider.AttemptRef) {
	w := s.worker(id)
	if !slices.Contains(w.acks, ref) {
		w.acks = append(w.acks, ref)
	}
	s.callAt(w, s.now.Add(maxAckDelay))
}

// stalled reports whether the oldest uncommitted append is older than
// stallAfter.
func (s *State) stalled() bool {
	return len(s.inFlight) > 0 && s.now.Sub(s.inFlight[0].at) > stallAfter
}

func errStalled(shard structs.ShardID) error {
	return errs.New(errs.NotRun, "send the request again when the store answers", "shard %s cannot make records durable", shard)
}

// flush returns and clears the effects of this call.
func (s *State) flush() []structs.Effect {
	out := s.effects
	s.effects = nil
	if len(s.records) > 0 {
		s.sequence++
		s.inFlight = append(s.inFlight, pendingAppend{s.sequence, s.now})
		out = append(out, Append{Sequence: s.sequence, Records: s.records})
		s.records = nil
	}
	return s.outbox.flush(s, out)
}

// outbox collects the commands of one call by worker.
type outbox struct {
	order   []structs.WorkerID
	batches map[structs.WorkerID]*provider.WorkerBatch
}

func (o *outbox) init() { o.batches = map[structs.WorkerID]*provider.WorkerBatch{} }

// batch returns the batch for the worker, which is sent even if it is empty.
func (o *outbox) batch(id structs.WorkerID) *provider.WorkerBatch {
	b := o.batches[id]
	if b == nil {
		b = &provider.WorkerBatch{}
		o.batches[id] = b
		o.order = append(o.order, id)
	}
	return b
}

func (o *outbox) flush(s *State, out []structs.Effect) []structs.Effect {
	for _, id := range o.order {
		w, b := s.worker(id), o.batches[id]
		b.Acks, w.acks = w.acks, nil
		w.noteCall(s.now)
		out = append(out, SendBatch{Worker: id, Batch: *b})
	}
	clear(o.batches)
	o.order = o.order[:0]
	return out
}
