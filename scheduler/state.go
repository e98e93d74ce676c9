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
	quarantine map[structs.WorkerID]quarantineState

	// Derived from the durable part and the events of this epoch.
	tasks            map[structs.TaskID]*task
	workers          map[structs.WorkerID]*worker
	calls            callHeap
	queue            *queue.Queue
	index            *placement.Index
	quota            *quotaLedger
	horizon          structs.Timestamp
	expiries         expiryHeap
	ended            []endedJob
	rolling          map[structs.JobID]*job
	infeasibleJobs   map[structs.JobID]*job
	fleetVersion     uint64          // incremented with each change of the list of workers
	shapeFeasible    map[string]bool // whether tasks of a shape fit any of the current workers
	costUnit         costUnit
	claims           claims
	reservations     *placement.Reservations
	reservedGangs    map[structs.JobID]reservedGang // gangs with a reservation
	gangsPlannedAt   structs.Timestamp
	gangWorkers      map[structs.WorkerID]bool // workers that are part of a reservation
	underdeclaredPPM map[structs.TeamID]int    // share of recent jobs that used more than declared, in parts per million
	probeTargets     []structs.WorkerID        // quarantined workers that are due for a probe
	victims          []*task                   // preempted tasks that are not stopped yet
	lastPreemption   structs.Timestamp         // time of the last search for victims
	lastPass         structs.Timestamp         // time of the last pass
	passNeeded       bool                      // a pass may place something
	counters         Counters

	// Appends of the current epoch, and effects that wait for their commit.
	sequence  uint64
	committed uint64
	inFlight  []pendingAppend
	deferred  []deferredEffect

	// Results of the current call of Reduce.
	records  []Record
	newTasks []*task
	dequeued []structs.TaskID
	outbox   outbox
	effects  []structs.Effect
}

// quarantineState is the quarantine of one worker.
type quarantineState struct {
	Until            structs.Timestamp `cbor:"1,keyasint"`
	ConsecutiveCount int               `cbor:"2,keyasint"`
}

// pendingAppend is an Append effect that is not committed.
type pendingAppend struct {
	sequence uint64
	at       structs.Timestamp
}

// deferredEffect is an effect that waits for the commit of a sequence. Exactly one
// of start, worker and reply is set.
type deferredEffect struct {
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

// Counters counts events of the scheduler for metrics.
type Counters struct {
	Placed, Requeued, Ended, Preempted, Throttled, Oversized, Quarantined, Passes, Skipped, ExpiredStarts uint64
}

// New returns an empty state.
func New(cfg Config) *State {
	cfg.Policy = cfg.Policy.withDefaults()
	s := &State{
		cfg:            cfg,
		policy:         cfg.Policy,
		horizon:        cfg.Horizon,
		jobs:           map[structs.JobID]*job{},
		drained:        map[structs.WorkerID]bool{},
		quarantine:     map[structs.WorkerID]quarantineState{},
		tasks:          map[structs.TaskID]*task{},
		workers:        map[structs.WorkerID]*worker{},
		rolling:        map[structs.JobID]*job{},
		infeasibleJobs: map[structs.JobID]*job{},
		shapeFeasible:  map[string]bool{},
		queue:          queue.New(cfg.Policy.queueConfig()),
		index:          placement.New(),
		quota:          newLedger(cfg.Policy),
	}
	s.underdeclaredPPM = map[structs.TeamID]int{}
	s.claims.init()
	s.reservations = placement.NewReservations(s.index, runTimePadding)
	s.reservedGangs = map[structs.JobID]reservedGang{}
	s.gangWorkers = map[structs.WorkerID]bool{}
	s.outbox.init()
	return s
}

// Sequence returns the sequence of the last Append effect. A snapshot includes
// all records up to it and may be published only after they are committed.
func (s *State) Sequence() uint64 { return s.sequence }

// Counters returns the counts since New or Restore.
func (s *State) Counters() Counters { return s.counters }
