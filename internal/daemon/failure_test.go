package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

// Guards against tasks that are lost or run twice when the owner of a shard is
// killed while its tasks run, and against a shard that no instance takes over.
func TestOwnerIsKilled(t *testing.T) {
	c := startProcesses(t)
	if err := c.submit(1, "before", "ishikari", 20, "3s"); err != nil {
		t.Fatal(err)
	}
	victim := c.ownerIndex("ishikari", 1)
	c.instances[victim].signal(t, syscall.SIGKILL)
	other := (victim + 1) % 3
	c.waitServing(other, (victim+2)%3)
	eventually(t, "a job is accepted after the takeover", func() error {
		return c.submit(other, "after", "ishikari", 5, "10ms")
	})
	c.waitSucceeded(other, "before", 20)
	c.waitSucceeded(other, "after", 5)
	c.checkSafety()
}

// ownerIndex waits until instance seenBy sees an owner of the shard and returns
// the index of the owner.
func (c *processCell) ownerIndex(shard string, seenBy int) int {
	c.t.Helper()
	index := -1
	eventually(c.t, "shard has an owner", func() error {
		for id, info := range c.owners(seenBy) {
			if string(id) == shard {
				index = slices.Index(c.callers, info.CallerAddress)
				return nil
			}
		}
		return errs.New(errs.NotRun, "", "shard %s has no owner", shard)
	})
	return index
}

// Guards against an owner that is frozen until after the end of its lease and
// still acts as owner when it resumes.
func TestOwnerIsFrozen(t *testing.T) {
	c := startProcesses(t)
	if err := c.submit(0, "before", "kamikawa", 20, "2s"); err != nil {
		t.Fatal(err)
	}
	victim := c.ownerIndex("kamikawa", 0)
	other := (victim + 1) % 3
	c.instances[victim].signal(t, syscall.SIGSTOP)
	eventually(t, "another instance owns the shard", func() error {
		if info, ok := c.owners(other)["kamikawa"]; !ok || info.CallerAddress == c.callers[victim] {
			return errs.New(errs.NotRun, "", "kamikawa is owned by %q", info.ID)
		}
		return c.submit(other, "during", "kamikawa", 5, "10ms")
	})
	c.instances[victim].signal(t, syscall.SIGCONT)
	c.waitSucceeded(other, "before", 20)
	c.waitSucceeded(other, "during", 5)
	eventually(t, "the frozen instance works again", func() error {
		return c.submit(victim, "later", "kamikawa", 5, "10ms")
	})
	c.waitSucceeded(victim, "later", 5)
	c.checkSafety()
}

// Guards against jobs that are acknowledged without being durable and against
// idempotent requests that fail while the store is down, and against a not-run
// outcome of work that did run.
func TestStoreOutage(t *testing.T) {
	c := startProcesses(t)
	c.control(standin.OpFault, standin.FaultRequest{Unavailable: true})
	for n := range c.callers {
		if status, outcome, body := c.request(n, "PUT", fmt.Sprintf("idempotent-%d", n), ""); status != 200 {
			t.Errorf("idempotent request at instance %d: status %d, outcome %s, %s", n, status, outcome, body)
		}
		if status, outcome, body := c.request(n, "POST", fmt.Sprintf("invoice-%d", n), ""); outcome != "not-run" {
			t.Errorf("non-idempotent request at instance %d: status %d, outcome %s, %s", n, status, outcome, body)
		}
	}
	if err := c.submit(0, "refused", "oshima", 5, "10ms"); err == nil {
		t.Error("a job was acknowledged while the store was down")
	}
	c.control(standin.OpFault, standin.FaultRequest{})
	for n := range c.callers {
		id := fmt.Sprintf("invoice-%d", n)
		eventually(t, "the non-idempotent request succeeds", func() error {
			if status, outcome, body := c.request(n, "POST", id, ""); status != 200 {
				return errs.New(errs.NotRun, "", "status %d, outcome %s, %s", status, outcome, body)
			}
			return nil
		})
	}
	eventually(t, "the job is accepted", func() error { return c.submit(0, "refused", "oshima", 5, "10ms") })
	c.waitSucceeded(1, "refused", 5)
	c.checkSafety()
}

// Guards against jobs or requests that are lost or executed twice when replies
// of the store are lost after the write and other calls are refused.
func TestStoreLosesReplies(t *testing.T) {
	c := startProcesses(t)
	c.control(standin.OpFault, standin.FaultRequest{LoseReplyEvery: 2, RefuseEvery: 5})
	for n := range 9 {
		id := fmt.Sprintf("job-%d", n)
		eventually(t, "job is accepted", func() error { return c.submit(n%3, structs.JobID(id), "", 3, "10ms") })
	}
	for n := range 9 {
		c.waitSucceeded((n+1)%3, structs.JobID(fmt.Sprintf("job-%d", n)), 3)
	}
	c.checkSafety()
}

// Guards against state that is lost when all instances are killed at once.
func TestRestartOfAllInstances(t *testing.T) {
	c := startProcesses(t)
	if err := c.submit(0, "survivor", "oshima", 10, "2s"); err != nil {
		t.Fatal(err)
	}
	for _, p := range c.instances {
		p.signal(t, syscall.SIGKILL)
	}
	for n, p := range c.instances {
		<-p.ended
		c.start(n)
	}
	c.waitServing(0, 1, 2)
	c.waitSucceeded(2, "survivor", 10)
	c.checkSafety()
}

// Guards against a planned stop that interrupts requests or tasks, or that
// exits with an error.
func TestPlannedStopUnderLoad(t *testing.T) {
	c := startProcesses(t)
	if err := c.submit(0, "running", "ishikari", 10, "1s"); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for n := range 20 {
		group.Go(func() {
			id := fmt.Sprintf("slow-%d", n)
			if status, outcome, body := c.request(0, "PUT", id, "?sleep=700ms"); status != 200 && outcome != "not-run" {
				t.Errorf("request %s: status %d, outcome %q, %s", id, status, outcome, body)
			}
		})
	}
	eventually(t, "requests are in flight", func() error {
		list, err := c.client(0).Instances(context.Background())
		if err != nil || !slices.ContainsFunc(list.Instances, func(i operatorapi.InstanceStatus) bool { return i.Self && i.RequestsInFlight > 0 }) {
			return errs.New(errs.NotRun, "", "no request is in flight: %v", err)
		}
		return nil
	})
	c.instances[0].signal(t, syscall.SIGTERM)
	group.Wait()
	<-c.instances[0].ended
	if c.instances[0].code != ExitDone {
		t.Errorf("exit code %d, want %d: %s", c.instances[0].code, ExitDone, c.instances[0].stderr)
	}
	c.waitServing(1, 2)
	c.waitSucceeded(1, "running", 10)
	c.checkSafety()
}

// Guards against executors that get more requests than they have slots, and
// against lost responses, while callers of three instances send more requests
// than the executors can handle.
func TestSlotsUnderFlood(t *testing.T) {
	c := startProcesses(t)
	const senders, each = 150, 6
	var answered, notRun atomic.Int64
	var group sync.WaitGroup
	for sender := range senders {
		group.Go(func() {
			for n := range each {
				id := fmt.Sprintf("flood-%d-%d", sender, n)
				status, outcome, body := c.request(sender%3, "PUT", id, "?sleep=100ms")
				switch {
				case status == 200 && body == id+" door":
					answered.Add(1)
				case outcome == "not-run":
					notRun.Add(1)
				default:
					t.Errorf("request %s: status %d, outcome %q, %s", id, status, outcome, body)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d requests answered, %d rejected as not run", answered.Load(), notRun.Load())
	if answered.Load() < senders*each/2 {
		t.Errorf("%d of %d requests were answered, want at least half", answered.Load(), senders*each)
	}
	c.checkSafety()
}

// Guards against new requests for an executor that the directory lists as
// leaving.
func TestLeavingExecutorGetsNoNewWork(t *testing.T) {
	c := startProcesses(t)
	if status, outcome, body := c.request(0, "PUT", "first", ""); status != 200 {
		t.Fatalf("status %d, outcome %q, body %q", status, outcome, body)
	}
	leaving := structs.ExecutorID("dispatch-ishikari-a01")
	c.control(standin.OpState, standin.StateRequest{Executor: leaving, State: structs.Leaving})
	eventually(t, "the leaving executor gets no new requests", func() error {
		for n := range 300 {
			if from := c.executorOf(n%3, fmt.Sprintf("later-%d", n)); from == leaving {
				return errs.New(errs.NotRun, "", "request %d went to %s", n, leaving)
			}
		}
		return nil
	})
	c.checkSafety()
}

// executorOf sends a request to instance n and returns the executor that
// handled it.
func (c *processCell) executorOf(n int, id string) structs.ExecutorID {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + c.callers[n] + "/v1/services/dispatch/orders")
	request.Header.SetMethod("PUT")
	request.Header.Set("Mangodrum-Request-Id", id)
	request.Header.Set("Mangodrum-Team", "/bureau/dispatch")
	request.Header.Set("Mangodrum-Class", "urgent")
	if err := c.http.Do(request, response); err != nil {
		c.t.Fatal(err)
	}
	return structs.ExecutorID(response.Header.Peek("Executor"))
}
