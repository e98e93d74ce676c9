package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// Cell is the state of the dispatcher. It is not safe for concurrent use.
type Cell struct {
	policy  Policy
	epoch   structs.Epoch
	now     structs.Timestamp
	effects []structs.Effect

	jobs      map[structs.JobID]*job
	scheduled []*job // active jobs with occurrences
	fading    []*job // ended jobs that still have their steps
	ready     []*step
	workers   map[structs.WorkerID]*worker
	order     []*worker // workers by identifier

	// unheard counts workers that may run tasks of the previous leader and
	// have neither answered nor outlived the leases of that leader.
	unheard         int
	startedAt       structs.Timestamp // of this leader
	directoryListed bool
	oldLeasesEnd    structs.Timestamp
	confirmed       structs.Timestamp // the last commit that proved the leadership was sent at this time
	dirty           []*job            // for the next commit
	lazy            []*job            // for a commit within lazyDelay
	committing      []*job            // jobs of the commit that is on its way
	removals        []tablestore.Name // rows that the next commits remove
	buckets         [progressBuckets][]*job
	bucketRows      [progressBuckets]int // stored rows of each bucket
	endedBatches    []*endedBatch        // in the order of their commits
	sequence        uint64
	dirtyWorkers    []int // buckets of workers for the next commits, ascending
	placeAgain      bool
	storeAway       bool          // commits fail; new submissions are refused at once
	wallOffset      time.Duration // time of day less the cell's time
	advisors        []*advisorSlot
	goodShare       map[string]float64   // share of advised workers that were good, by queue
	runTimes        map[string]*runTimes // by queue
	meanWork        map[string]float64   // of a job, by queue; see occurrence.work
}

// job is an accepted job or one that waits for its commit.
type job struct {
	spec      workflow.Job
	queue     workflow.Queue
	accepted  structs.Timestamp
	state     jobState
	durable   bool // accepted durably
	visible   workflow.State
	runs      []*occurrence
	nextDue   int // next occurrence to create
	waiting   []Ref
	cancels   []Ref
	version   uint64            // rises with each change
	writing   uint64            // version in the newest commit
	committed uint64            // newest durable version
	endedIn   uint64            // version with the end
	queued    bool              // in Cell.dirty
	lazyAt    structs.Timestamp // since when in Cell.lazy; 0 if it is not
	endedAt   structs.Timestamp
	started   bool
	recovered bool // taken over from a previous leader
	objective time.Duration
	batch     *specBatch // the row with its specification, while that is stored
	inBucket  bool       // in Cell.buckets
	// outcomeStored tells that its outcome is stored or in the commit that is
	// on its way.
	outcomeStored bool
}

type jobState uint8

const (
	jobActive jobState = iota
	jobDone
	jobFailed
	jobCancelled
)

func (j *job) active() bool { return j.state == jobActive }

// occurrence is one run through the steps of a job.
type occurrence struct {
	index int
	due   structs.Timestamp
	steps []*step
	left  int // steps that have not succeeded
}

// step is a step of one occurrence.
type step struct {
	job       *job
	occ       *occurrence
	index     int
	spec      *workflow.Step
	name      string
	expected  time.Duration // from the moment when it may begin to its end
	tasks     []*task
	left      int // tasks that have not succeeded
	idle      int // tasks that wait for a place
	queued    bool
	perWorker map[structs.WorkerID]int // tasks of the step on each worker

	// Gangs: the attempt counts and runs belong to the step.
	gangRun    uint64
	brokenRun  uint64 // the last run that lost a member
	checkpoint string

	advice   map[structs.WorkerID]admission
	good     []*worker // admitted workers, by identifier
	asking   int       // advice calls without an answer
	askAfter structs.Timestamp
	readyAt  structs.Timestamp
}

// admission is what is known of a worker's admission to a step.
type admission struct {
	good  bool
	token string
	until structs.Timestamp    // end of the ticket
	life  workflow.Incarnation // that the ticket is for
}

type taskState uint8

const (
	taskWaiting  taskState = iota
	taskPlaced             // has room on a worker and waits for a ticket
	taskStarting           // an order was sent
	taskRunning
	taskStopping
	taskDone
)

type task struct {
	step       *step
	index      int
	name       string
	state      taskState
	at         *worker
	run        uint64
	failedRuns []uint64 // runs that ended as failed, each counted once
	checkpoint string
	avoid      structs.WorkerID // where it failed last
}

// allocation is a run that occupies, or may occupy, room on a worker.
type allocation struct {
	task      *task // nil if the run belongs to no known job
	name      string
	run       uint64
	resources structs.Resources
	state     taskState
	sends     int
	retryAt   structs.Timestamp
	confirmed structs.Timestamp // an answer showed the order as carried out at this time
	percent   int
	movedAt   structs.Timestamp // last change of percent
	startedAt structs.Timestamp
	order     workflow.StartOrder
}

type worker struct {
	workflow.Worker
	listed  bool
	known   bool // its incarnation has answered a renewal
	unheard bool // may run tasks of the previous leader

	allocations map[string]*allocation
	used        structs.Resources
	reserved    structs.Resources // for waiting gangs, rebuilt by each placement pass

	processed    uint64 // highest end that was processed
	acknowledged uint64 // ends up to this number are durable
	unacked      []ackPoint

	renewing bool
	misses   int
	silent   bool              // has missed too many renewals
	clock    time.Duration     // the worker's clock
	clockAt  structs.Timestamp // when clock was received
	leaseEnd structs.Timestamp // everything granted so far has expired by then
	deadline time.Duration     // latest lease end on the worker's clock
	askAt    structs.Timestamp // earliest next renewal

	failures   int // failed runs since the last success
	failedJobs map[structs.JobID]bool
	restUntil  structs.Timestamp // quarantined until then
}

// ackPoint says which version of a job an end is part of. The end may be
// acknowledged once that version is durable.
type ackPoint struct {
	number  uint64
	job     *job // nil if the end changed nothing
	version uint64
}

// New returns the dispatcher of a leader with the given fencing token. claimed
// is the time in the leadership row that it has written, from which the next
// leader counts the leases of this one.
func New(policy Policy, epoch structs.Epoch, now, claimed structs.Timestamp) *Cell {
	return &Cell{
		policy: policy, epoch: epoch, now: now, confirmed: claimed, startedAt: now,
		jobs: map[structs.JobID]*job{}, workers: map[structs.WorkerID]*worker{}, goodShare: map[string]float64{}, runTimes: map[string]*runTimes{}, meanWork: map[string]float64{},
	}
}

func (c *Cell) emit(e structs.Effect) { c.effects = append(c.effects, e) }

func (c *Cell) decide(d Decision) { c.emit(d) }

// taskName returns the name of a task for the workers.
func taskName(stepName string, index int) string { return stepName + "." + strconv.Itoa(index) }

func stepName(id structs.JobID, occurrence, step int) string {
	return string(id) + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// findTask returns the task with the given name, or nil.
func (c *Cell) findTask(name string) *task {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil
	}
	j := c.jobs[structs.JobID(parts[0])]
	if j == nil {
		return nil
	}
	var numbers [3]int
	for n, text := range parts[1:] {
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 {
			return nil
		}
		numbers[n] = value
	}
	if occ := j.occurrence(numbers[0]); occ != nil && numbers[1] < len(occ.steps) {
		if s := occ.steps[numbers[1]]; numbers[2] < len(s.tasks) {
			return s.tasks[numbers[2]]
		}
	}
	return nil
}

func (c *Cell) findStep(name string) *step {
	if t := c.findTask(name + ".0"); t != nil {
		return t.step
	}
	return nil
}

func (j *job) occurrence(index int) *occurrence {
	for _, occ := range j.runs {
		if occ.index == index {
			return occ
		}
	}
	return nil
}
