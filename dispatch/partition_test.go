package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// TestPartitionedLeaderRunsNoTaskTwice guards against a leader on the small side of a
// partition, without the store: when the leases of the workers on the other side have
// ended by its count, it starts their tasks on the workers on its own side. The next
// leader, on the other side, has renewed these leases, and can't reach the workers on
// which the tasks run a second time.
func TestPartitionedLeaderRunsNoTaskTwice(t *testing.T) {
	const cutAt, cut, tasks = 6 * time.Second, 7 * time.Second, 40
	s := newSimulation(t, 1, 10)
	s.elect()
	near := map[structs.WorkerID]bool{"w08": true, "w09": true} // on the side of the first leader
	for n := range tasks {
		job := s.randomJob(n)
		job.queue, job.alwaysFails = batchQueue(nil), false
		job.job.Steps = []workflow.Step{{Tasks: 1, Estimate: 4 * time.Second, Resources: structs.Resources{MilliCPU: 6000}}}
		s.at(cutAt-time.Second, func() { s.submit(job) })
	}
	cutOff := func(l *fakeLeader, isCut func(structs.WorkerID) bool) {
		l.cutFrom = map[structs.WorkerID]leaderCut{}
		for _, w := range s.workers {
			if isCut(w.ID) {
				l.cutFrom[w.ID] = leaderCut{until: structs.Timestamp(time.Second + cutAt + cut)}
			}
		}
	}
	s.at(cutAt, func() {
		s.leader.cutOff = true
		cutOff(s.leader, func(id structs.WorkerID) bool { return !near[id] })
	})
	s.at(cutAt+700*time.Millisecond, func() {
		s.elect()
		cutOff(s.leader, func(id structs.WorkerID) bool { return near[id] })
	})
	for s.now < structs.Timestamp(60*time.Second) && len(s.timers) > 0 && s.timers[0].at < structs.Timestamp(60*time.Second) {
		s.run(s.timers[0].at) // ends at the first violation
		if t.Failed() {
			return
		}
	}
	for id := range s.jobs {
		if state, _ := s.leader.dispatcher.State(id); state != workflow.Done {
			t.Errorf("job %s is %s at the end, want done", id, state)
		}
	}
}
