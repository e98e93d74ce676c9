package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// logNormal draws a time with the given median and spread of its logarithm.
func logNormal(rng *rand.Rand, median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*rng.NormFloat64()))
}

// TestRunTimesCorrectEstimates guards against decisions that take estimates at
// their word where they are off by several times: it replays run times with a
// spread of 0.5 and estimates off by 0.9, as on the grown sites, and exact
// estimates, which have to stay as they are.
func TestRunTimesCorrectEstimates(t *testing.T) {
	for _, test := range []struct {
		name   string
		off    float64 // spread of the estimate about the run time
		within float64 // mean error of the logarithm
	}{
		{"far off", 0.9, 0.5},
		{"exact", 0, 0.02},
	} {
		t.Run(test.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			var r runTimes
			var learned, stated float64
			const steps = 400
			for n := range 2 * steps {
				run := logNormal(rng, 4*time.Second, 0.5)
				estimate := logNormal(rng, run, test.off)
				if n >= steps {
					learned += math.Abs(math.Log(r.expect(estimate).Seconds() / run.Seconds()))
					stated += math.Abs(math.Log(estimate.Seconds() / run.Seconds()))
				}
				for range 20 {
					r.add(estimate, run, 20)
				}
			}
			if learned/steps > test.within {
				t.Errorf("mean error %.2f, want at most %.2f; that of the estimates is %.2f", learned/steps, test.within, stated/steps)
			}
		})
	}
}

// TestShortEstimateIsNotHopeless guards against a job with a far too short
// estimate being put behind all others: on sierra-cambios-grown scale-1 half
// of the waiting gangs counted as late while their objective was ahead.
func TestShortEstimateIsNotHopeless(t *testing.T) {
	s := newScene(t, 4, roomy)
	for range runTimesLeast * 2 {
		for range 2 { // the queue's tasks run for about 5 s, whatever is estimated
			r := s.cell.runTimes["batch"]
			if r == nil {
				r = &runTimes{}
				s.cell.runTimes["batch"] = r
			}
			r.add(time.Second, 5*time.Second, 1)
			r.add(10*time.Second, 5*time.Second, 1)
		}
	}
	gang := s.submit("0000000000000001", batchQueue(nil), workflow.Step{
		Tasks: 2, Gang: true, Estimate: 500 * time.Millisecond, Resources: structs.Resources{MilliCPU: 1000},
	})
	s.now = s.now.Add(4 * time.Second)
	s.reduce(Tick{})
	if r, _ := s.cell.rankOf(gang); r != rankOnTime {
		t.Errorf("rank %d after 4 s, want that of a job in time: its objective is about 11 s", r)
	}
}
