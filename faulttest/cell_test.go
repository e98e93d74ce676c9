package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/ownership"
	"github.com/mangodrum/mangodrum/platform"
	"github.com/mangodrum/mangodrum/platform/standin"
	"github.com/mangodrum/mangodrum/scheduler"
	"github.com/mangodrum/mangodrum/structs"
)

const team = structs.TeamID("/t")

var (
	capacity  = structs.Resources{MilliCPU: 8000, MemoryBytes: 32 << 30}
	unlimited = structs.Resources{MilliCPU: 1 << 40, MemoryBytes: 1 << 60, Accelerators: 1 << 20}
)

func policy() scheduler.Policy {
	return scheduler.Policy{
		Classes: []scheduler.ClassPolicy{
			{Name: "urgent", Urgency: structs.Urgent, Weight: 4, FloorPPM: 200_000},
			{Name: "batch", Urgency: structs.Deferrable, Weight: 1, FloorPPM: 200_000},
		},
		Teams: map[structs.TeamID]scheduler.TeamPolicy{team: {Guaranteed: unlimited, BorrowLimit: unlimited, Weight: 1}},
		Lease: 6 * time.Second, // below the horizon of the simulation
	}
}

// simWorker is a worker that can die, lose its connections and come back.
type simWorker struct {
	*standin.Worker
	sim      *sim
	shard    structs.ShardID
	skew     time.Duration
	dead     bool
	cutUntil structs.Timestamp
}

func (s *sim) addWorker(i int) {
	info := structs.Worker{
		ID: structs.WorkerID(fmt.Sprintf("w%d", i)), Capacity: capacity, State: structs.Live,
		Location: structs.Location{Region: "r", FailureDomain: structs.FailureDomain(fmt.Sprintf("d%d", i/2%2))},
	}
	w := &simWorker{sim: s, shard: s.shards[i%len(s.shards)].ID, skew: s.skew()}
	w.install(info)
	s.workers = append(s.workers, w)
}

// install starts the worker's process without any task.
func (w *simWorker) install(info structs.Worker) {
	w.dead = false
	w.Worker = standin.NewWorker(info)
	w.Usage = func(start platform.StartTask) structs.Resources {
		if w.sim.active[wrongSizes] > 0 {
			return start.Resources.Scale(10)
		}
		return start.Resources
	}
}

// die ends the worker. The first worker of a shard is replaced by none and
// listed as gone; the others come back empty after every start window.
func (w *simWorker) die(length time.Duration) {
	if w.dead {
		return
	}
	w.dead = true
	if slices.Index(w.sim.workers, w) < len(w.sim.shards) {
		w.sim.After(length, func() { w.Info.State = structs.Gone })
		return
	}
	w.sim.After(6*time.Second+length, func() { w.install(w.Info) })
}

func (n *node) listWorkers() {
	n.working(func(r *shardRun) {
		var list []structs.Worker
		for _, w := range n.sim.workers {
			if w.shard == r.shard {
				list = append(list, w.Info)
			}
		}
		r.reduce(scheduler.WorkersListed{Workers: list})
	})
}

// callWorker carries a batch to its worker and the report back.
func (r *shardRun) callWorker(e scheduler.SendBatch) {
	s, gen, open := r.sim, r.node.gen, true
	i := slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.Info.ID == e.Worker })
	w := s.workers[i]
	finish := func(ev structs.Event) {
		if open {
			open = false
			r.reduce(ev)
		}
	}
	s.message(func() {
		if w.dead || s.Now < w.cutUntil {
			return
		}
		report := w.Do(s.Now.Add(w.skew), e.Batch)
		s.checkWorkers(w, e.Batch.Starts)
		s.message(func() { s.deliver(r.node, gen, func() { finish(scheduler.WorkerReported{Report: report}) }) })
	})
	s.After(time.Second, func() {
		s.deliver(r.node, gen, func() { finish(scheduler.WorkerUnreachable{Worker: e.Worker}) })
	})
}

// checkWorkers fails if a task runs twice, a worker got more than it can
// carry, or a start came without its durable record.
func (s *sim) checkWorkers(w *simWorker, starts []platform.StartTask) {
	if len(starts) == 0 {
		return
	}
	if w.Overrun() > 0 {
		s.fail("worker %s got more than it can carry", w.Info.ID)
	}
	for _, start := range starts {
		if !s.durable[platform.AttemptRef{Task: start.Task, Attempt: start.Attempt}] {
			s.fail("start of %s without a durable record", start.Task)
		}
	}
	places := map[structs.TaskID]structs.WorkerID{}
	for _, w := range s.workers {
		if w.dead {
			continue
		}
		for _, ref := range w.Running(s.Now.Add(w.skew)) {
			if other, twice := places[ref.Task]; twice {
				s.fail("task %s runs on %s and on %s", ref.Task, other, w.Info.ID)
			}
			places[ref.Task] = w.Info.ID
		}
	}
}

// clients submit and cancel jobs and remember the answers.
type clients struct {
	calls     map[scheduler.CallID]request
	sent      map[structs.JobID]int
	acked     map[structs.JobID]structs.Job
	cancelled map[structs.JobID]bool
	refused   map[structs.JobID]bool // answered as not run
	jobs      []structs.Job
}

type request struct {
	job    structs.JobID
	cancel bool
}

func newClients() clients {
	return clients{
		calls: map[scheduler.CallID]request{}, sent: map[structs.JobID]int{}, acked: map[structs.JobID]structs.Job{},
		cancelled: map[structs.JobID]bool{}, refused: map[structs.JobID]bool{},
	}
}

// startClients submits jobs until the end.
func (s *sim) startClients(end structs.Timestamp) {
	var again func()
	again = func() {
		if s.Now >= end {
			return
		}
		job := s.newJob()
		if n := len(s.clients.jobs); n > 0 && s.rng.IntN(6) == 0 {
			job = s.clients.jobs[s.rng.IntN(n)] // sent again by its caller
		}
		s.submit(job, false)
		s.After(200*time.Millisecond+s.random(400*time.Millisecond), again)
	}
	s.After(0, again)
}

// newJob returns a job of the mixture. Wrong sizes appear in the workers'
// reports; wrong run times differ from the declared one by a factor of 10.
func (s *sim) newJob() structs.Job {
	shard := s.shards[s.rng.IntN(len(s.shards))].ID
	c := &s.clients
	job := structs.Job{
		ID: structs.JobID(fmt.Sprintf("%s-%d", shard, len(c.jobs))), Team: team, Class: "batch", Kind: structs.KindBatch,
		Count: 1 + s.rng.IntN(2), Resources: structs.Resources{MilliCPU: 500 + s.rng.Int64N(2000), MemoryBytes: 1 << 30},
		RunTime: 300*time.Millisecond + s.random(3*time.Second), Command: []string{"sleep"},
	}
	switch s.rng.IntN(10) {
	case 0:
		job.Kind, job.Count = structs.KindGang, 3
	case 1:
		job.Kind, job.Command = structs.KindService, []string{"serve"}
	case 2, 3, 4:
		job.Class = "urgent"
	}
	runTime := job.RunTime
	if s.active[wrongRunTimes] > 0 {
		runTime = [...]time.Duration{runTime / 10, runTime * 10}[s.rng.IntN(2)]
	}
	job.Command = append(job.Command, runTime.String())
	if s.coin(jobsTooLarge) {
		job.Resources = capacity.Scale(2)
	}
	c.jobs = append(c.jobs, job)
	return job
}

// submit sends a job, or its cancellation, to the owner it knows of.
func (s *sim) submit(job structs.Job, cancel bool) {
	c := &s.clients
	shard := structs.ShardID(strings.SplitN(string(job.ID), "-", 2)[0])
	call := scheduler.CallID(len(c.calls) + 1)
	c.calls[call] = request{job.ID, cancel}
	var ev structs.Event = scheduler.CancelJob{Call: call, Job: job.ID}
	if !cancel {
		c.sent[job.ID]++
		ev = scheduler.SubmitJob{Call: call, Job: job}
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if owner, _ := n.own.Owner(shard); owner != "" {
		n = s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.info.ID == owner })]
	}
	s.After(time.Millisecond+s.random(20*time.Millisecond), func() {
		s.deliver(n, n.gen, func() {
			r := n.runs[shard]
			if r == nil || r.app == nil || n.own.Standing(n.clock(), shard) != ownership.Owner {
				c.reply(scheduler.Reply{Call: call, Err: errs.New(errs.NotRun, "", "not the owner")})
				return
			}
			r.reduce(ev)
		})
	})
}

// cancelWave cancels most jobs at once.
func (s *sim) cancelWave() {
	for _, job := range s.clients.jobs {
		if s.rng.IntN(4) > 0 {
			s.submit(job, true)
		}
	}
}

func (c *clients) reply(e scheduler.Reply) {
	req := c.calls[e.Call]
	switch {
	case e.Err == nil && req.cancel:
		c.cancelled[req.job] = true
	case e.Err == nil:
		c.acked[req.job] = e.Job
	case errs.Is(e.Err, errs.NotRun) && !req.cancel:
		c.refused[req.job] = true
	}
}

// check fails if the state lacks an acknowledged job or cancellation, or has a
// job whose only submission was answered as not run.
func (c *clients) check(s *sim, shard structs.ShardID, app *scheduler.State) {
	for _, job := range c.jobs {
		if !strings.HasPrefix(string(job.ID), string(shard)+"-") {
			continue
		}
		_, acked := c.acked[job.ID]
		status, found := app.Job(job.ID)
		switch {
		case acked && !found:
			s.fail("acknowledged job %s is lost", job.ID)
		case found && c.refused[job.ID] && c.sent[job.ID] == 1:
			s.fail("job %s was answered as not run and exists", job.ID)
		case s.opts.cancellations && c.cancelled[job.ID] && !status.Cancelled && status.Ended == 0:
			s.fail("acknowledged cancellation of %s is lost", job.ID)
		}
	}
}
