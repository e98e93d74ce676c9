package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// Dispatcher is the state of the dispatcher of a cell. It is not safe for concurrent
// use.
type Dispatcher struct {
	policy  Policy
	epoch   structs.Epoch
	now     structs.Timestamp
	effects []structs.Effect

	jobs           map[structs.JobID]*job
	jobMemory      int64   // of all jobs, in bytes; see memory.go
	maxJobMemory   int64   // limit for it; 0: none
	scheduled      []*job  // active scheduled jobs
	endedWithSteps []*job  // ended jobs that still have their steps
	ready          []*step // steps whose dependencies are done
	workers        map[structs.WorkerID]*worker
	sortedWorkers  []*worker                   // workers by identifier
	removedWorkers map[structs.WorkerID]uint64 // workers that were removed and may come back, with their tokenOffset

	// unreported is the number of workers that may still run tasks of the
	// previous leader: they have not reported, and its leases have not expired.
	unreported            int
	recoveryCompleted     bool              // unreported was 0 after a report
	recoveredAt           structs.Timestamp // when unreported last became 0
	startedAt             structs.Timestamp // start of this leader
	previousLeasesEnd     structs.Timestamp
	leadershipConfirmedAt structs.Timestamp // send time of the last successful commit
	storeClockAhead       time.Duration     // see SetStoreClockAhead
	lastTickAt            structs.Timestamp
	pausedAt              structs.Timestamp  // when a pause of this leader was noticed; 0 once a later commit is confirmed
	dirty                 []*job             // jobs for the next commit
	deferred              []*job             // jobs for a commit within maxProgressDelay
	committing            []*job             // jobs in the commit in progress
	committingWorkers     []*worker          // workers in the commit in progress
	workersLeftOut        []*worker          // workers that do not fit into their rows of that commit
	removals              []tablestore.RowID // rows to remove with the next commits
	buckets               [progressBuckets][]*job
	bucketRows            [progressBuckets]int // number of stored rows of each progress bucket
	outcomeRows           []*outcomeRow        // stored rows of EndedJobTable in commit order
	expiredOutcomes       []*outcomeRow        // of these, rows to remove with the next commits
	sequence              uint64
	dirtyWorkers          []int              // worker buckets for the next commits, ascending
	workerRows            [workerBuckets]int // number of stored rows of each worker bucket
	placementNeeded       bool
	nextReservationAt     structs.Timestamp // when the reservations of gangs are computed again
	outages               outageHistory
	refused               refusedRequests
	wallOffset            time.Duration // time of day minus now
	advisorClients        []*advisorClient
	approvalRates         map[string]float64       // share of the workers named in calls that the advisor approved, by queue
	runTimeModels         map[string]*runTimeModel // by queue
	meanWork              map[string]float64       // mean work of a job by queue; see occurrence.work
	lostRuns              map[string]lostRun       // by task; see rememberLostRun
	lostRunsPrunedAt      structs.Timestamp
}

// job is a job that is stored or waits for its first commit.
type job struct {
	spec             workflow.Job
	queue            workflow.Queue
	acceptedAt       structs.Timestamp
	state            jobState
	durable          bool // its acceptance is stored
	visibleState     workflow.State
	occurrences      []*occurrence
	nextDue          int // next occurrence to create
	pendingSubmits   []pendingCall
	pendingCancels   []pendingCall
	version          uint64            // incremented by each change
	writingVersion   uint64            // version in the latest commit, which may be in progress
	committedVersion uint64            // latest stored version
	endVersion       uint64            // version that includes the end of the job
	inDirty          bool              // in Dispatcher.dirty
	deferredSince    structs.Timestamp // when it was added to Dispatcher.deferred; 0 if it is not in it
	endedAt          structs.Timestamp
	started          bool
	recovered        bool // accepted by a previous leader
	objective        time.Duration
	specRow          *specRow // stored row that holds its specification, or nil
	inBucket         bool     // in Dispatcher.buckets
	// outcomeStored is true once the outcome is stored or part of the commit in
	// progress.
	outcomeStored bool
	// countedMemory is its part of Dispatcher.jobMemory, and advisedWorkers the number of
	// workers with advice for its steps.
	countedMemory  int64
	advisedWorkers int
}

// jobState is the stored state of a job.
type jobState uint8

const (
	jobActive jobState = iota
	jobDone
	jobFailed
	jobCancelled
)

func (j *job) active() bool { return j.state == jobActive }

// occurrence is one execution of all steps of a job. Only scheduled jobs have
// more than one.
type occurrence struct {
	index          int
	due            structs.Timestamp
	steps          []*step
	remainingSteps int // steps that have not succeeded
}

// step is the state of a step in one occurrence.
type step struct {
	job            *job
	occ            *occurrence
	index          int
	spec           *workflow.Step
	name           string
	expectedTime   time.Duration // from when it is ready until it ends
	expectedRun    time.Duration // of one of its tasks
	chain          time.Duration // expected time of the longest chain of steps that begins with it
	tasks          []*task
	remainingTasks int // tasks that have not succeeded
	unplacedTasks  int // tasks that are waiting to be placed
	queued         bool
	perWorker      map[structs.WorkerID]int // number of tasks of the step on each worker

	// Gangs only: run numbers and checkpoints belong to the step.
	gangRun    uint64
	brokenRun  uint64 // latest run that lost a member
	checkpoint string

	advice             map[structs.WorkerID]workerAdvice
	approvedWorkers    []*worker         // approved workers, ordered by identifier
	pendingAdviceCalls int               // advice calls in flight
	adviceExpectedAt   structs.Timestamp // when the latest call is expected to be answered
	nextAdviceAt       structs.Timestamp
	readyAt            structs.Timestamp
	expectedStart      structs.Timestamp // of a waiting gang; 0 if too few workers are approved
}

// workerAdvice is the advisor's latest answer about a worker for a step.
type workerAdvice struct {
	approved    bool
	token       string
	expiresAt   structs.Timestamp    // end of the validity of the ticket
	incarnation workflow.Incarnation // incarnation that the ticket is valid for
}

// taskState is the state of a task or of an allocation.
type taskState uint8

const (
	taskWaiting  taskState = iota
	taskPlaced             // has an allocation on a worker and waits for a ticket
	taskStarting           // a start request was sent
	taskRunning
	taskStopping
	taskDone
)

// task is the state of one task of a step.
type task struct {
	step   *step
	index  int
	name   string
	state  taskState
	worker *worker
	run    uint64
	// failedRuns has the numbers of the failed runs, each once, and at most
	// maxListedFailedRuns of them: failedBefore counts the others, whose highest number is
	// failedThrough. For a long-running task it has the last runs in a row, at most
	// maxShortRuns, that ended soon after their start.
	failedRuns    []uint64
	failedBefore  int
	failedThrough uint64
	checkpoint    string
	avoidWorker   structs.WorkerID  // worker of its last failed run
	lostRun       *EarlierRun       // its last run, if that counted as lost
	restartAt     structs.Timestamp // when a long-running task may start again
	endedAt       structs.Timestamp // when its last run has ended or counted as lost; 0: not known to this leader
}

// allocation holds the resources of a placed task, or of a run that is running or
// may be running, on a worker.
type allocation struct {
	task         *task // nil if the run belongs to no known job
	name         string
	run          uint64
	resources    structs.Resources
	state        taskState
	sends        int
	retryAt      structs.Timestamp
	confirmedAt  structs.Timestamp // time of the last answer that showed that the request was carried out
	percent      int
	progressedAt structs.Timestamp // last change of percent
	// firstPercent and firstProgressAt are those of the first report of the run.
	firstPercent    int
	firstProgressAt structs.Timestamp
	startedAt       structs.Timestamp
	startOrder      workflow.StartOrder
	sentAt          structs.Timestamp // when the last start request was sent
	openStarts      int               // start requests without an answer; each may be carried out late
	startAnsweredAt structs.Timestamp // when the last start request was answered
	reportedAt      structs.Timestamp // last report of the worker's incarnation that listed the run; 0: none
	reportSentAt    structs.Timestamp // when that report was requested
	carriedOver     bool              // sent to an earlier incarnation; see mayReachNextIncarnation
}

// worker is the state of a worker that is listed or may be running tasks.
type worker struct {
	workflow.Worker
	listed bool
	stored bool // a stored row lists it, perhaps with an earlier address: a new leader waits for its report
	// rowStored is true once any row that lists the worker is stored, also an earlier one.
	rowStored bool
	known     bool // the current incarnation has answered a renewal
	// tokenOffset is added to the epoch in requests to the worker. It rises whenever
	// earlier requests must not be carried out any more: with each incarnation that ends,
	// with an entry that may be of another one, and when the worker is listed again.
	tokenOffset        uint64
	reportedSinceRaise bool // a report has been processed since then
	// listedIncarnation is that of the last directory entry.
	listedIncarnation workflow.Incarnation
	unreported        bool // may run tasks of the previous leader; see Dispatcher.unreported

	allocations map[string]*allocation
	used        structs.Resources
	// reservations and releases are recomputed every reservationInterval.
	reservations []reservation     // of waiting gangs
	releases     []capacityRelease // expected ends of its runs; nil if not computed

	endsTruncated   bool   // the last report may not list all ends
	processedEnd    uint64 // highest number of a processed end
	acknowledgedEnd uint64 // the effects of ends up to this number are stored
	pendingAcks     []pendingAck
	// endNumbersContinuous is true once the next end to be listed has the number after
	// processedEnd. Before the first report, a previous leader may have acknowledged some.
	endNumbersContinuous bool
	// sentAcknowledgement is the acknowledged end in the last renewal.
	sentAcknowledgement uint64

	renewing       bool
	renewalSentAt  structs.Timestamp // when the latest renewal was sent
	reportSentAt   structs.Timestamp // when the renewal was sent that the latest report answers
	hedged         bool              // the first report was asked for twice
	missedRenewals int
	silent         bool              // has missed missedRenewalsBeforeSilent renewals
	clock          time.Duration     // worker's clock in its last report
	clockAt        structs.Timestamp // when clock was received
	leaseEnd       structs.Timestamp // all leases that any request may have granted have expired by then
	grantedEnd     structs.Timestamp // of these, the leases that this leader has granted to the current incarnation
	leaseDeadline  time.Duration     // latest end of a granted lease on the worker's clock
	// lapseBy is the time on the worker's clock by which the lease has lapsed that this
	// leader counted as over, with its runs ended. 0: no lease has to lapse.
	lapseBy time.Duration
	// grantsClosed is true while a stored row of the worker, or one in the commit in
	// progress, may have LeasesEndBy. writtenLeasesEndBy is that of the latest commit.
	grantsClosed       bool
	writtenLeasesEndBy structs.Timestamp
	refusesConnections bool              // the last renewal found that it does not accept connections
	requestsUntil      structs.Timestamp // requests that grant leases or acknowledge ends may be carried out until then
	nextRenewalAt      structs.Timestamp // earliest time of the next renewal
	// incarnationSince is when the end of the previous incarnation became known.
	incarnationSince structs.Timestamp

	failures    int // failed runs since the last success
	failedJobs  map[structs.JobID]bool
	pausedUntil structs.Timestamp // gets no new tasks until then, after rejections, failures or stalls
}

// pendingAck is an end that is not acknowledged yet. It may be acknowledged once
// the version of the job that includes its effect is stored.
type pendingAck struct {
	number     uint64
	job        *job // nil if the job is not known; nothing has to be stored
	jobVersion uint64
}

// New returns the dispatcher of a leader with the given fencing token. claimed is
// the time in the leadership row that this leader has written; until its first
// commit, the next leader computes the end of its leases from that time.
func New(policy Policy, epoch structs.Epoch, now, claimed structs.Timestamp) *Dispatcher {
	return &Dispatcher{
		policy: policy, maxJobMemory: policy.MaxJobMemory, epoch: epoch, now: now, leadershipConfirmedAt: claimed, startedAt: now, lastTickAt: now,
		jobs: map[structs.JobID]*job{}, workers: map[structs.WorkerID]*worker{}, removedWorkers: map[structs.WorkerID]uint64{}, approvalRates: map[string]float64{}, runTimeModels: map[string]*runTimeModel{}, meanWork: map[string]float64{}, lostRuns: map[string]lostRun{},
	}
}

// emit adds an effect to the result of the current call.
func (c *Dispatcher) emit(e structs.Effect) { c.effects = append(c.effects, e) }

// logDecision adds a decision for the log to the result of the current call.
func (c *Dispatcher) logDecision(d Decision) { c.emit(d) }

// taskName returns the name by which workers know a task.
func taskName(stepName string, index int) string { return stepName + "." + strconv.Itoa(index) }

// stepName returns the name of a step in an occurrence of a job.
func stepName(id structs.JobID, occurrence, step int) string {
	return string(id) + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// taskPosition is a parsed task name.
type taskPosition struct {
	job                     *job
	occurrence, step, index int
}

// parseTaskName parses the name of a task of a known job.
func (c *Dispatcher) parseTaskName(name string) (taskPosition, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskPosition{}, false
	}
	j := c.jobs[structs.JobID(parts[0])]
	if j == nil {
		return taskPosition{}, false
	}
	var numbers [3]int
	for n, text := range parts[1:] {
		value, err := strconv.Atoi(text)
		if err != nil || value < 0 {
			return taskPosition{}, false
		}
		numbers[n] = value
	}
	return taskPosition{j, numbers[0], numbers[1], numbers[2]}, true
}

// findTask returns the task with the given name, or nil.
func (c *Dispatcher) findTask(name string) *task {
	if at, ok := c.parseTaskName(name); ok {
		return at.task()
	}
	return nil
}

// task returns the task at a position, or nil.
func (p *taskPosition) task() *task {
	if occ := p.job.occurrence(p.occurrence); occ != nil && p.step < len(occ.steps) {
		if s := occ.steps[p.step]; p.index < len(s.tasks) {
			return s.tasks[p.index]
		}
	}
	return nil
}

// findReportedTask returns the task that a worker's report names, or nil. An
// occurrence that the previous leader has started need not be stored, and it may
// not be due yet by this instance's time of day; it is created here, because the
// end of its run would otherwise be acknowledged and forgotten.
func (c *Dispatcher) findReportedTask(name string) *task {
	at, ok := c.parseTaskName(name)
	if !ok {
		return nil
	}
	if at.occurrence >= at.job.nextDue {
		c.createOccurrencesThrough(at.job, at.occurrence)
	}
	return at.task()
}

// findStep returns the step with the given name, or nil.
func (c *Dispatcher) findStep(name string) *step {
	if t := c.findTask(name + ".0"); t != nil {
		return t.step
	}
	return nil
}

// occurrence returns the occurrence with the given index, or nil.
func (j *job) occurrence(index int) *occurrence {
	for _, occ := range j.occurrences {
		if occ.index == index {
			return occ
		}
	}
	return nil
}
