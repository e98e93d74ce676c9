package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
)

// Guards against explanations that name the wrong cause: failures for a window
// that has not opened, or a lack of capacity for a gang or a team's quota.
func TestExplanationsNameTheCause(t *testing.T) {
	policy := testPolicy()
	policy.Teams["/small"] = TeamPolicy{Guaranteed: cores(4), Weight: 1}
	c := newSimulation(1, policy, fleet(3, cores(8)))
	late := batch("late", "deferrable", 5, cores(1), time.Second)
	late.NotBefore = c.now.Add(2 * time.Hour)
	first := batch("first", "normal", 1, cores(4), time.Hour)
	second := batch("second", "normal", 1, cores(2), time.Hour)
	first.Team, second.Team = "/small", "/small"
	filler := batch("filler", "normal", 3, cores(4), time.Hour)
	for _, j := range []structs.Job{late, first, filler} {
		c.submit(j)
	}
	c.advance(time.Second)
	gang := batch("gang", "normal", 3, cores(6), time.Hour)
	gang.Kind = structs.KindGang
	c.submit(gang)
	c.submit(second)
	c.advance(time.Second)
	for id, wants := range map[structs.JobID][]string{
		"late":   {"the window has not opened", "5 tasks", "1h59m58s"},
		"second": {"above quota", "needs 2 cores"},
		"gang":   {"3 tasks of 6 cores", "must start together", "18 cores", "of 3 workers have room"},
		"first":  {"no task waits"},
	} {
		e, _ := c.s.Explain(c.now, id)
		for _, want := range wants {
			if !strings.Contains(e.Summary, want) || e.Remedy == "" {
				t.Errorf("%s: %q, remedy %q; want %q in it", id, e.Summary, e.Remedy, want)
			}
		}
		if strings.Contains(e.Summary, "failures") {
			t.Errorf("%s: %q mentions failures", id, e.Summary)
		}
	}
	c.checkGuarantees(t)
}
