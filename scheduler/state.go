package scheduler

import (
	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

// State is the state of one shard. Use New or Restore. It is not safe for
// concurrent use.
type State struct {
	cfg    Config
	policy Policy
	now    structs.Timestamp

	// Durable: changed only by apply.
	jobs       map[structs.JobID]*job
	drained    map[structs.WorkerID]bool
	quarantine map[structs.WorkerID]strikes

	// Derived from the durable part and the events of this epoch.
	tasks        map[structs.TaskID]*task
	workers      map[structs.WorkerID]*worker
	due          dueHeap
	queue        *queue.Queue
	index        *placement.Index
	quota        *ledger
	horizon      structs.Timestamp
	waits        waitHeap
	ended        []endedJob
	rolling      map[structs.JobID]*job
	held         map[structs.JobID]*job
	fleet        uint64          // number of changes of the list of workers
	shapes       map[string]bool // whether a shape of task can run at all, for the current workers
	unit         unit
	claims       claims
	reservations *placement.Reservations
	planned      map[structs.JobID]plannedGang // gangs with a reservation
	plannedAt    structs.Timestamp
	plannedOn    map[structs.WorkerID]bool // workers with a part in a reservation
	distrust     map[structs.TeamID]int    // part of recent jobs that used more than declared, in parts per million
	probes       []structs.WorkerID        // quarantined workers that are due for a probe
	victims      []*task                   // of preemptions that wait for a checkpoint
	preempted    structs.Timestamp         // time of the last search for victims
	passed       structs.Timestamp         // time of the last pass
	dirty        bool                      // a pass may place something
	counts       Counters

	// Of the current epoch's journal.
	sequence  uint64
	committed uint64
	inFlight  []appended
	deferred  []deferred

	// Of the current call.
	records []Record
	fresh   []*task
	dropped []structs.TaskID
	outbox  outbox
	effects []structs.Effect
}

// strikes is the quarantine of one worker.
type strikes struct {
	Until   structs.Timestamp `cbor:"1,keyasint"`
	Strikes int               `cbor:"2,keyasint"`
}

// appended is an Append effect that is not committed.
type appended struct {
	sequence uint64
	at       structs.Timestamp
}

// deferred is an effect that waits for the commit of a sequence. Exactly one
// of start, worker and reply is set.
type deferred struct {
	sequence uint64
	start    *task
	attempt  int
	worker   structs.WorkerID
	ack      provider.AttemptRef
	reply    *Reply
}

type endedJob struct {
	id structs.JobID
	at structs.Timestamp
}

// Counters count what the scheduler did, for metrics.
type Counters struct {
	Placed, Requeued, Ended, Preempted, Throttled, Oversized, Quarantined, Passes, Skipped, Expired uint64
}

// New returns an empty state.
func New(cfg Config) *State {
	cfg.Policy = cfg.Policy.withDefaults()
	s := &State{
		cfg:        cfg,
		policy:     cfg.Policy,
		horizon:    cfg.Horizon,
		jobs:       map[structs.JobID]*job{},
		drained:    map[structs.WorkerID]bool{},
		quarantine: map[structs.WorkerID]strikes{},
		tasks:      map[structs.TaskID]*task{},
		workers:    map[structs.WorkerID]*worker{},
		rolling:    map[structs.JobID]*job{},
		held:       map[structs.JobID]*job{},
		shapes:     map[string]bool{},
		queue:      queue.New(cfg.Policy.queueConfig()),
		index:      placement.New(),
		quota:      newLedger(cfg.Policy),
	}
	s.distrust = map[structs.TeamID]int{}
	s.claims.init()
	s.reservations = placement.NewReservations(s.index, runTimePadding)
	s.planned = map[structs.JobID]plannedGang{}
	s.plannedOn = map[structs.WorkerID]bool{}
	s.outbox.init()
	return s
}

// Sequence returns the sequence of the last Append effect. A snapshot holds
// the effects of all records up to it and may be published only after they
// are committed.
func (s *State) Sequence() uint64 { return s.sequence }

// Counters returns the counts since New or Restore.
func (s *State) Counters() Counters { return s.counts }
