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
