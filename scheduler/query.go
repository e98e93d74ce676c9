package scheduler

import (
	"fmt"
	"time"

	"github.com/mangodrum/mangodrum/placement"
	"github.com/mangodrum/mangodrum/queue"
	"github.com/mangodrum/mangodrum/structs"
)

// JobStatus is the state of a job. Tasks lists the open tasks, and those that
// ended while the job is open.
type JobStatus struct {
	Job              structs.Job
	Cancelled        bool
	Reason           string // why it was cancelled
	InfeasibleReason string // why it is infeasible; empty if it is not
	Ended            structs.Timestamp
	Pending          int
	Placed           int
	Succeeded        int
	Failed           int
	Stopped          int               // tasks that ended because of a cancellation or replacement
	Size             structs.Resources // amount reserved for a task
	RunTime          time.Duration     // estimate; 0 if not known
	Tasks            []structs.Task
}

// WorkerStatus is the state of a worker.
type WorkerStatus struct {
	Worker           structs.Worker
	Listed           bool
	Drained          bool
	QuarantinedUntil structs.Timestamp // time of the next probe; 0 if it is not quarantined
	DownSince        structs.Timestamp // 0 if it answers
	Claimed          bool              // kept free for a job that has waited for a long time
	Tasks            int
	Reserved         structs.Resources
	Unconfirmed      int    // tasks that may run while the worker does not answer
	Reason           string // why it is quarantined
}

// Job returns the state of a job and its tasks.
func (s *State) Job(id structs.JobID) (JobStatus, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobStatus{}, false
	}
	st := s.jobStatus(j)
	st.Tasks = make([]structs.Task, 0, len(j.Tasks))
	for _, t := range j.Tasks {
		st.Tasks = append(st.Tasks, t.view())
	}
	return st, true
}

// Jobs returns the state of all jobs without their tasks, in the order of
// their acceptance.
func (s *State) Jobs() []JobStatus {
	out := make([]JobStatus, 0, len(s.jobs))
	for _, j := range s.jobsInOrder() {
		out = append(out, s.jobStatus(j))
	}
	return out
}

func (s *State) jobStatus(j *job) JobStatus {
	return JobStatus{
		Job: j.Spec, Cancelled: j.Cancelled, Reason: j.Reason, InfeasibleReason: string(j.infeasibleReason), Ended: j.Ended,
		Pending: j.Open - j.placedTasks, Placed: j.placedTasks,
		Succeeded: j.Done.Succeeded, Failed: j.Done.Failed, Stopped: j.Done.Cancelled,
		Size: j.need(), RunTime: s.estimatedRunTime(j),
	}
}

// Workers returns the state of all workers in the order of their identifiers.
func (s *State) Workers() []WorkerStatus {
	out := make([]WorkerStatus, 0, len(s.workers))
	for _, w := range s.sortedWorkers() {
		_, claimed := s.claims.byWorker[w.id]
		st := WorkerStatus{
			Worker: w.info, Listed: w.listed, Drained: s.drained[w.id], QuarantinedUntil: s.quarantine[w.id].Until,
			DownSince: w.downSince, Claimed: claimed, Tasks: len(w.tasks),
			Reason: s.quarantineReason(w.id),
		}
		for _, t := range w.tasks {
			st.Reserved = st.Reserved.Add(t.live.reserved)
			if t.live.unconfirmed {
				st.Unconfirmed++
			}
		}
		out = append(out, st)
	}
	return out
}

// quarantineReason returns why a worker is quarantined, or "" if it is not.
func (s *State) quarantineReason(id structs.WorkerID) string {
	q, ok := s.quarantine[id]
	switch {
	case !ok:
		return ""
	case q.Until.After(s.now):
		return fmt.Sprintf("quarantine %d: tasks of %d jobs, or a probe, failed on it in a row; next probe at %s",
			q.ConsecutiveCount, quarantineThreshold, q.Until.Time().Format(time.RFC3339))
	}
	return fmt.Sprintf("quarantine %d: tasks of %d jobs, or a probe, failed on it in a row; %d of %d probes passed",
		q.ConsecutiveCount, quarantineThreshold, s.workers[id].health.passedProbes, probesToPass)
}

// Queues returns the depth, oldest age, share and floor of each class and team.
func (s *State) Queues(now structs.Timestamp) []queue.Stat { return s.queue.Stats(now) }

// Explanation describes why tasks of a job are pending, or that none is.
type Explanation struct {
	Job              structs.JobID
	Summary          string // one line
	InfeasibleReason string // why the job is infeasible with the current workers and policy
	Pending          int
	Used             structs.Resources // used by the team
	Limit            structs.Resources // guaranteed quota plus borrow limit of the team
	Need             structs.Resources // needed by one task, or by the whole gang
	EarliestStart    structs.Timestamp // end of the backoff of a failing job, or start of its window
	Workers          placement.Explanation
	Remedy           string
}

// Explain describes, with figures, why tasks of the job are pending.
func (s *State) Explain(now structs.Timestamp, id structs.JobID) (Explanation, bool) {
	j := s.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	req := s.request(j)
	e := Explanation{
		Job: id, InfeasibleReason: string(j.infeasibleReason), Pending: j.Open - j.placedTasks,
		Used: s.quota.used[j.Spec.Team], Limit: s.quota.limit(j.Spec.Team), Need: s.itemSize(j),
		Workers: s.index.Explain(&req),
	}
	s.fillExplanation(now, j, &e)
	return e, true
}

func (s *State) fillExplanation(now structs.Timestamp, j *job, e *Explanation) {
	switch {
	case e.Pending == 0:
		e.Summary, e.Remedy = "no task waits", "nothing to do"
	case j.infeasibleReason == infeasibleQuota:
		e.Summary = fmt.Sprintf("can never run: needs %s at once, team %s may use %s", e.Need, j.Spec.Team, e.Limit)
		e.Remedy = "raise the quota or borrow limit of the team, or ask for less"
	case j.infeasibleReason != "":
		e.Summary = "can never run: " + e.Workers.String()
		e.Remedy = e.Workers.Remedy
		if j.Spec.Kind == structs.KindGang && someWorkerFits(e.Workers) {
			e.Summary = fmt.Sprintf("can never run: %d tasks of %s do not fit together into the empty fleet", j.Open, j.need())
			e.Remedy = "ask for fewer or smaller tasks, or add workers"
		}
	case j.Spec.NotBefore.After(now):
		e.EarliestStart = j.Spec.NotBefore
		e.Summary = fmt.Sprintf("the window has not opened: %d tasks start at %s at the earliest, in %s",
			e.Pending, e.EarliestStart.Time().Format(time.RFC3339), e.EarliestStart.Sub(now).Round(time.Second))
		e.Remedy = "wait, or submit the work under a new identifier with an earlier window"
	case j.health.retryAt.After(now):
		e.EarliestStart = j.health.retryAt
		e.Summary = fmt.Sprintf("retry delayed until %s: %d failures in a row on %d workers",
			e.EarliestStart.Time().Format(time.RFC3339), j.health.failures, len(j.health.failedWorkers))
		e.Remedy = "correct or cancel the job if it fails by itself, otherwise wait"
	case !s.quota.admits(j.Spec.Team, e.Need):
		e.Summary = fmt.Sprintf("above quota: needs %s; %s", e.Need, s.quota.reason(j.Spec.Team, e.Need))
		e.Remedy = "wait for the team's other tasks, or raise its quota or borrow limit"
	case j.Spec.Kind == structs.KindGang:
		s.explainGang(now, j, e)
	case e.Workers.Fitting > 0 && s.queue.IsOverloaded(j.Spec.Class):
		s.explainOverload(now, j, e)
	default:
		e.Summary, e.Remedy = e.Workers.String(), e.Workers.Remedy
		s.addShare(now, j, e)
	}
}

// explainGang describes how many tasks must start together and whether workers
// are kept free for them.
func (s *State) explainGang(now structs.Timestamp, j *job, e *Explanation) {
	e.Summary = fmt.Sprintf("%d tasks of %s must start together, %s in all; %d of %d workers have room for a task now",
		e.Pending, j.need(), e.Need, e.Workers.Fitting, e.Workers.Workers)
	e.Remedy = "wait, or ask for fewer or smaller tasks"
	if cl := s.claims.forJob(j); cl != nil {
		e.Summary += fmt.Sprintf("; %d workers are kept free for it, with room in about %s",
			len(cl.workers), max(cl.expectedReady.Sub(now), 0).Round(time.Second))
		return
	}
	e.Summary += fmt.Sprintf("; no worker is kept free for it yet, which begins after a wait of %s", s.policy.Reservation.ReserveAfter)
}

// explainOverload describes that the class is overloaded.
func (s *State) explainOverload(now structs.Timestamp, j *job, e *Explanation) {
	e.Summary = fmt.Sprintf("class %s is above its floor and its backlog is larger than its floor, so other classes go first", j.Spec.Class)
	e.Remedy = "wait, or raise the weight or floor of the class"
	s.addShare(now, j, e)
}

// addShare adds the share and the floor of the class to the summary.
func (s *State) addShare(now structs.Timestamp, j *job, e *Explanation) {
	for _, stat := range s.queue.Stats(now) {
		if stat.Class != j.Spec.Class || stat.Team != "" {
			continue
		}
		where := "above"
		if stat.SharePPM < stat.FloorPPM {
			where = "below"
		}
		e.Summary += fmt.Sprintf("; class %s occupies %.1f%% of the shard, %s its floor of %.1f%%, with %d tasks waiting",
			stat.Class, percent(stat.SharePPM), where, percent(stat.FloorPPM), stat.Depth)
	}
}

func percent(ppm int64) float64 { return float64(ppm) / 10_000 }
