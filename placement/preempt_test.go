package placement

import (
	"fmt"
	"testing"

	"github.com/mangodrum/mangodrum/structs"
)

// Guards against preemption that is more disruptive or more expensive than
// needed, affects work that is at least as urgent, or frees too little.
func TestChoosePreemption(t *testing.T) {
	batch := func(task, worker string, cores, cost int64) PreemptionCandidate {
		return PreemptionCandidate{Task: structs.TaskID(task), Worker: structs.WorkerID(worker), Resources: res(cores, 1, 0), Urgency: structs.Deferrable, Cost: cost}
	}
	throttled := func(c PreemptionCandidate, cores int64) PreemptionCandidate {
		c.FreedByThrottling = res(cores, 0, 0)
		return c
	}
	saved := func(c PreemptionCandidate) PreemptionCandidate { c.CanCheckpoint = true; return c }
	normal := func(c PreemptionCandidate) PreemptionCandidate { c.Urgency = structs.Normal; return c }
	urgent := func(c PreemptionCandidate) PreemptionCandidate { c.Urgency = structs.Urgent; return c }
	cases := map[string]struct {
		candidates []PreemptionCandidate
		need       int64
		want       string
	}{
		"cheapest single task":                    {[]PreemptionCandidate{batch("t1", "a", 4, 9), batch("t2", "a", 4, 5)}, 4, "a [{t2 stop}]"},
		"cheapest set of several":                 {[]PreemptionCandidate{batch("t1", "a", 4, 9), batch("t2", "a", 2, 2), batch("t3", "a", 2, 3)}, 4, "a [{t2 stop} {t3 stop}]"},
		"cheaper worker":                          {[]PreemptionCandidate{batch("t1", "a", 8, 9), batch("t2", "b", 8, 5)}, 8, "b [{t2 stop}]"},
		"throttle before a cheaper stop":          {[]PreemptionCandidate{throttled(batch("t1", "a", 8, 9), 4), batch("t2", "b", 8, 1)}, 4, "a [{t1 throttle}]"},
		"checkpoint before a cheaper stop":        {[]PreemptionCandidate{saved(batch("t1", "a", 8, 9)), batch("t2", "b", 8, 1)}, 4, "a [{t1 checkpoint}]"},
		"mildest action within a set":             {[]PreemptionCandidate{throttled(batch("t1", "a", 4, 9), 2), batch("t2", "a", 4, 1)}, 6, "a [{t1 throttle} {t2 stop}]"},
		"spares normal work":                      {[]PreemptionCandidate{normal(batch("t1", "a", 8, 1)), batch("t2", "b", 8, 50)}, 8, "b [{t2 stop}]"},
		"urgent work is not touched":              {[]PreemptionCandidate{urgent(batch("t1", "a", 8, 1))}, 4, ""},
		"not enough on any one worker":            {[]PreemptionCandidate{batch("t1", "a", 4, 1), batch("t2", "b", 4, 1)}, 8, ""},
		"larger than the worker":                  {[]PreemptionCandidate{batch("t1", "a", 8, 1)}, 16, ""},
		"too many candidates to compare all sets": {halfCoreCandidates(batch, 16), 2, "a [{t00 stop} {t01 stop} {t02 stop} {t03 stop}]"},
	}
	for name, c := range cases {
		x := newIndexWith(newWorker("a", "r", "d", res(8, 64, 0)), newWorker("b", "r", "d", res(8, 64, 0)))
		mustReserve(t, x, "a", res(8, 1, 0), "")
		mustReserve(t, x, "b", res(8, 1, 0), "")
		p, ok := x.ChoosePreemption(&Request{Resources: res(c.need, 1, 0)}, structs.Urgent, c.candidates)
		got := ""
		if ok {
			got = describe(p)
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// halfCoreCandidates returns n tasks of half a core in ascending order of cost.
func halfCoreCandidates(batch func(task, worker string, cores, cost int64) PreemptionCandidate, n int) []PreemptionCandidate {
	var list []PreemptionCandidate
	for i := range n {
		c := batch(fmt.Sprintf("t%02d", i), "a", 0, int64(i+1))
		c.Resources.MilliCPU = 500
		list = append(list, c)
	}
	return list
}

func describe(p Preemption) string {
	text := string(p.Worker) + " ["
	for i, s := range p.Steps {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("{%s %s}", s.Task, s.Action)
	}
	return text + "]"
}
