package dispatch

import (
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/workflow"
)

// TestReplacedRunIsExplained guards against a task that runs a second time without
// a log line that says why its first run counted as over.
func TestReplacedRunIsExplained(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
	s.now = s.now.Add(time.Second)
	s.report("w0", time.Second) // lists neither the run nor its end
	s.dispatcher.ConfirmLeadership(s.now)
	s.place()
	reasons := map[string]string{}
	for _, d := range takeEffects[Decision](s) {
		reasons[d.Event] = d.Reason
		if d.Event == "run_replaced" && (d.Earlier == nil || d.Earlier.Worker != "w0" || d.Earlier.Run != order.Run || d.Earlier.Incarnation != 1) {
			t.Errorf("replaced run: %+v, want run %d on w0", d.Earlier, order.Run)
		}
	}
	for _, event := range []string{"run_lost", "run_replaced"} {
		if reasons[event] != string(lossMissing) {
			t.Errorf("reason of %s: %q, want %q", event, reasons[event], lossMissing)
		}
	}
}

// TestLostRunThatIsListedIsLogged guards against a wrong rule on lost runs that no log
// line shows: a run counts as missing, is started again, and its worker lists it.
func TestLostRunThatIsListedIsLogged(t *testing.T) {
	for _, listed := range []workflow.Report{
		{Incarnation: 1, Running: []workflow.RunningTask{{Task: "0000000000000001.0.0.0", Run: 1}}},
		{Incarnation: 1, Ended: []workflow.EndedTask{{Sequence: 1, Task: "0000000000000001.0.0.0", Run: 1, Kind: workflow.EndDone}}},
	} {
		s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
		order := starts[0].Order
		s.reduce(StartAnswered{Worker: "w0", Task: order.Task, Run: order.Run, Outcome: workflow.OK})
		s.now = s.now.Add(time.Second)
		s.reportOf("w0", workflow.Report{Incarnation: 1})
		takeEffects[Decision](s)
		s.now = s.now.Add(time.Second)
		s.reportOf("w0", listed)
		found := 0
		for _, d := range takeEffects[Decision](s) {
			if d.Event == "lost_run_listed" {
				found++
				if d.Reason != string(lossMissing) || d.State == "" || d.Run != order.Run || d.Worker != "w0" || d.Value != 1000 {
					t.Errorf("decision: %+v", d)
				}
			}
		}
		if found != 1 {
			t.Errorf("%d decisions on a lost run that is listed, want 1", found)
		}
	}
}

// TestForgottenEndsAreLogged guards against ends that a worker has forgotten before this
// leader has processed them, without a log line. Their numbers are missing.
func TestForgottenEndsAreLogged(t *testing.T) {
	s := newDispatcherHarness(t, 1, largeWorker)
	end := workflow.EndedTask{Task: "00000000000000ff.0.0.0", Run: 1, Kind: workflow.EndDone}
	forgotten := map[uint64]int64{}
	for _, report := range []struct {
		incarnation workflow.Incarnation
		sequence    uint64
	}{{1, 1}, {1, 2}, {1, 5}, {2, 1}, {3, 4}} {
		s.now = s.now.Add(time.Second)
		end.Sequence = report.sequence
		s.reportOf("w0", workflow.Report{Incarnation: report.incarnation, Ended: []workflow.EndedTask{end}})
		for _, d := range takeEffects[Decision](s) {
			if d.Event == "ends_forgotten" {
				forgotten[report.sequence] = d.Value
			}
		}
	}
	if len(forgotten) != 2 || forgotten[5] != 2 || forgotten[4] != 3 {
		t.Errorf("forgotten ends by the number listed next: %v, want 2 before 5 and 3 before 4", forgotten)
	}
}

// TestLostRunHasEvidence guards against a run that counts as lost without a log line that
// tells a late worker, a replaced leader and a late start request apart.
func TestLostRunHasEvidence(t *testing.T) {
	s, starts := submitJob(t, 1, arrayJob(1, false), batchQueue(nil))
	order := starts[0].Order
	for s.dispatcher.workers["w0"].allocations[order.Task] != nil {
		s.now = s.now.Add(25 * time.Millisecond)
		s.reduce(LeaseAnswered{Worker: "w0", SentAt: s.now, Outcome: workflow.Unanswered})
		s.advance(0)
		if s.now.Sub(s.dispatcher.startedAt) > time.Minute {
			t.Fatal("the run never counts as lost")
		}
	}
	lost := evidenceOf(s, "run_lost")
	if lost == nil || lost.OpenStarts != 1 || lost.ProofAge > 25*time.Millisecond || lost.PastDeadline <= 0 {
		t.Errorf("evidence on the lost run: %+v", lost)
	}
	deadline := s.dispatcher.workers["w0"].leaseDeadline
	s.now = s.now.Add(time.Second)
	s.reportOf("w0", workflow.Report{Incarnation: 1, Clock: deadline + 300*time.Millisecond, Running: []workflow.RunningTask{{Task: order.Task, Run: order.Run}}})
	listed := evidenceOf(s, "lost_run_listed")
	if listed == nil || listed.PastDeadline != 300*time.Millisecond || listed.ProofAge < time.Second || listed.OpenStarts != 1 {
		t.Errorf("evidence on the lost run that is listed: %+v", listed)
	}
}

// evidenceOf returns the evidence of the only decision with an event.
func evidenceOf(s *dispatcherHarness, event string) *LossEvidence {
	for _, d := range takeEffects[Decision](s) {
		if d.Event == event {
			return d.Evidence
		}
	}
	return nil
}
