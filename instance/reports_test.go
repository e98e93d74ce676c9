package instance

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

func at(seconds float64) structs.Timestamp {
	return structs.Timestamp(1e18).Add(time.Duration(seconds * float64(time.Second)))
}

func report(worker structs.WorkerID, seconds float64, tasks ...provider.TaskReport) *provider.WorkerReport {
	return &provider.WorkerReport{Worker: worker, ReportedAt: at(seconds), Tasks: tasks}
}

func running(task structs.TaskID, until float64) provider.TaskReport {
	return provider.TaskReport{Task: task, Attempt: 1, Status: provider.RunRunning, LeaseEnd: at(until)}
}

// Guards against a counter that misses a task on two workers, and against one
// that also counts a task that moved from one worker to another.
func TestReportMonitorCountsDuplicateRuns(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports []*provider.WorkerReport
		removed structs.WorkerID
		want    uint64
	}{
		{"two leases at once", []*provider.WorkerReport{report("a", 0, running("t", 30)), report("b", 1, running("t", 31))}, "", 1},
		{"counted once", []*provider.WorkerReport{
			report("a", 0, running("t", 30)), report("b", 1, running("t", 31)), report("a", 2, running("t", 30)), report("b", 3, running("t", 31)),
		}, "", 1},
		{"moved after its end", []*provider.WorkerReport{
			report("a", 0, running("t", 30)), report("a", 1), report("b", 2, running("t", 32)),
		}, "", 0},
		{"moved after the lease end", []*provider.WorkerReport{report("a", 0, running("t", 30)), report("b", 31, running("t", 60))}, "", 0},
		{"late report", []*provider.WorkerReport{
			report("a", 5), report("b", 6, running("t", 36)), report("a", 4, running("t", 34)),
		}, "", 0},
		{"confirmed as stopped", []*provider.WorkerReport{report("a", 0, running("t", 30)), report("b", 1, running("t", 31))}, "a", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newReportMonitor(metrics.NewSet())
			for n, r := range test.reports {
				if n == 1 && test.removed != "" {
					w.removeWorker(test.removed)
				}
				w.record(r)
			}
			if got := w.reportedTwice.Get(); got != test.want {
				t.Errorf("%d tasks reported twice, want %d", got, test.want)
			}
		})
	}
}

// Guards against counting a refused start again with every report that repeats
// it until it is acknowledged.
func TestReportMonitorCountsRefusedStartsOnce(t *testing.T) {
	w := newReportMonitor(metrics.NewSet())
	refused := provider.TaskReport{Task: "t", Attempt: 1, Status: provider.RunRefused}
	w.record(report("a", 0, refused))
	w.record(report("a", 1, refused))
	refused.Attempt = 2
	w.record(report("a", 2, refused))
	if got := w.refusedStarts.Get(); got != 2 {
		t.Errorf("%d refused starts, want 2", got)
	}
}

// Guards against quantiles that are off by more than a bucket, that include
// old wait times forever, or that mix shards.
func TestWaitTimesExpireAndMerge(t *testing.T) {
	var r waitRecorder
	for n := range 100 {
		r.observe(at(0), "s1", "urgent", time.Duration(n+1)*time.Millisecond)
	}
	r.observe(at(1), "s2", "urgent", time.Hour)
	merged := mergeWaits(append(r.ofShard(at(2), "s1"), r.ofShard(at(2), "s2")...))
	if len(merged) != 1 || merged[0].Count != 101 {
		t.Fatalf("merged: %+v, want 101 starts of one class", merged)
	}
	for _, check := range []struct{ got, exact time.Duration }{{merged[0].P50, 51 * time.Millisecond}, {merged[0].P99, 100 * time.Millisecond}} {
		if check.got < check.exact || float64(check.got) > float64(check.exact)*bucketGrowth {
			t.Errorf("quantile %v, want between %v and 10%% more", check.got, check.exact)
		}
	}
	if left := mergeWaits(r.ofShard(at(301), "s1")); len(left) != 1 {
		t.Errorf("wait times of the previous period are missing: %+v", left)
	}
	if left := mergeWaits(r.ofShard(at(700), "s1")); len(left) != 0 {
		t.Errorf("expired wait times are still included: %+v", left)
	}
}

// Guards against a return to an older settings version that is not counted,
// and against a lag that is never reset.
func TestSettingsRevertsAndLag(t *testing.T) {
	m := newInstanceMetrics(metrics.NewSet())
	for _, number := range []uint64{1, 2, 1, 3} {
		m.recordSettingsVersion(number)
	}
	if got := m.settingsReverts.Get(); got != 1 {
		t.Errorf("%d reverts, want 1", got)
	}
	var lag lagTimer
	lag.update(at(0), 1, 2)
	if got := lag.update(at(4), 1, 3); got != 4*time.Second {
		t.Errorf("lag %v, want 4s", got)
	}
	if got := lag.update(at(5), 3, 3); got != 0 {
		t.Errorf("lag %v after the change, want 0", got)
	}
}
