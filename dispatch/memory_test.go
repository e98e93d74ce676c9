package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// jobOfTasks returns a job with the given number of tasks, which no worker can hold.
func jobOfTasks(n, tasks int) workflow.Job {
	j := smallJob(n)
	j.Steps[0].Tasks, j.Steps[0].Resources.MilliCPU = tasks, 1<<40
	return j
}

// TestJobMemoryIsBounded guards against valid jobs that together take more memory than the
// leader has, against large jobs that leave no room for small ones, and against memory that
// is never given back.
func TestJobMemoryIsBounded(t *testing.T) {
	const limit = 4 << 20
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(InstancesConnected{MaxJobMemory: limit})
	accepted := []structs.JobID{}
	for n := range 10 {
		s.reduce(SubmitJob{Call: CallID(n + 1), Job: jobOfTasks(n, 4000), Queue: batchQueue(nil), Request: RequestID(fmt.Sprint(n))})
		s.commit()
		reply := s.repliesByCall()[CallID(n+1)]
		switch reply.Verdict {
		case Accepted:
			accepted = append(accepted, jobOfTasks(n, 1).ID)
		case Refused:
			if reply.RetryAfter < retryAfterFull {
				t.Errorf("job %d is refused with a Retry-After of %s, want %s", n, reply.RetryAfter, retryAfterFull)
			}
		default:
			t.Errorf("job %d: %+v", n, reply)
		}
	}
	if size := s.dispatcher.jobMemory; len(accepted) == 0 || len(accepted) == 10 || size > limit*3/4 {
		t.Errorf("%d of 10 jobs are accepted, %d bytes of %d", len(accepted), size, limit)
	}
	s.reduce(SubmitJob{Call: 100, Job: smallJob(100), Queue: batchQueue(nil)})
	s.commit()
	if reply := s.repliesByCall()[100]; reply.Verdict != Accepted {
		t.Errorf("a small job beside the large ones: %+v, want it accepted", reply)
	}
	for n, id := range append(accepted, smallJob(100).ID) {
		s.reduce(CancelJob{Call: CallID(200 + n), ID: id})
	}
	s.commit()
	s.advance(endedStepsRetention + time.Second)
	if size, want := s.dispatcher.jobMemory, int64(jobMemory*(len(accepted)+1)); size != want {
		t.Errorf("%d bytes are counted once the steps of all jobs are forgotten, want %d", size, want)
	}
	s.advance(s.dispatcher.policy.Retention + time.Second)
	s.commit()
	if size := s.dispatcher.jobMemory; size != 0 {
		t.Errorf("%d bytes are counted once all jobs are forgotten", size)
	}
}

// TestOccurrencesWaitForMemory guards against scheduled jobs whose occurrences together take
// more memory than the leader has, and against occurrences that are lost for it.
func TestOccurrencesWaitForMemory(t *testing.T) {
	const limit = 2 << 20
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(InstancesConnected{MaxJobMemory: limit})
	for n := range 5 {
		j := jobOfTasks(n, 50)
		j.Occurrences, j.Interval = 10_000, time.Millisecond
		s.reduce(SubmitJob{Call: CallID(n + 1), Job: j, Queue: batchQueue(nil)})
	}
	s.commit()
	s.advance(time.Second)
	if size := s.dispatcher.jobMemory; size > limit*6/10 {
		t.Errorf("occurrences take %d bytes of %d, want about half of it", size, limit)
	}
	created := s.dispatcher.jobs[smallJob(0).ID].nextDue
	if created == 0 {
		t.Error("no occurrence was created")
	}
	s.reduce(InstancesConnected{MaxJobMemory: 2 * limit})
	s.advance(time.Second)
	if now := s.dispatcher.jobs[smallJob(0).ID].nextDue; now <= created {
		t.Errorf("%d occurrences were created before and %d after there was more memory", created, now)
	}
}

// TestJobMemoryIsNotUnderestimated guards against a limit that is kept by the count of bytes
// only, while the jobs take more.
func TestJobMemoryIsNotUnderestimated(t *testing.T) {
	for name, tasks := range map[string]int{"small jobs": 1, "ordinary jobs": 10, "wide jobs": 2000} {
		s := newDispatcherHarness(t, 1, largeWorker)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for n := range 20_000 / tasks {
			s.dispatcher.jobs[smallJob(n).ID] = s.dispatcher.newJob(jobOfTasks(n, tasks), batchQueue(nil), s.now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if used, counted := int64(after.HeapAlloc)-int64(before.HeapAlloc), s.dispatcher.jobMemory; used > counted {
			t.Errorf("%s take %d bytes, %d are counted", name, used, counted)
		}
		runtime.KeepAlive(s)
	}
}

// TestRefusedRequestsAreBounded guards against refusals that are remembered without bound,
// and against a caller that is told that its job never runs although the refusal is not
// remembered.
func TestRefusedRequestsAreBounded(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	s.reduce(InstancesConnected{MaxJobMemory: 1})
	for n := range maxRefusedRequests + 1 {
		s.reduce(SubmitJob{Call: CallID(n + 1), Job: smallJob(n), Queue: batchQueue(nil), Request: RequestID(fmt.Sprint(n))})
	}
	replies := s.repliesByCall()
	if last := replies[maxRefusedRequests]; last.Verdict != Refused {
		t.Errorf("the last remembered refusal: %+v", last)
	}
	if next := replies[maxRefusedRequests+1]; next.Verdict != CommitPending {
		t.Errorf("a refusal that is not remembered: %+v, want its outcome open", next)
	}
}
