package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/workflow"
)

// logNormal draws a log-normally distributed time with the given median and
// standard deviation of its logarithm.
func logNormal(rng *rand.Rand, median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*rng.NormFloat64()))
}

// TestRunTimeModelCorrectsEstimates guards against decisions based on estimates
// that are off by several times. It draws run times with a spread of 0.5 and
// estimates with a spread of 0.9 about them, as on the grown sites, and exact
// estimates, which must not change. A spread is the standard deviation of the
// logarithm.
func TestRunTimeModelCorrectsEstimates(t *testing.T) {
	for _, test := range []struct {
		name   string
		off    float64 // spread of the estimates about the run time
		within float64 // largest mean error of the logarithm
	}{
		{"far off", 0.9, 0.5},
		{"exact", 0, 0.02},
	} {
		t.Run(test.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			var r runTimeModel
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
				t.Errorf("mean error %.2f, want at most %.2f; the estimates have %.2f", learned/steps, test.within, stated/steps)
			}
		})
	}
}

// TestShortEstimateKeepsRank guards against placing a job with a far too short
// estimate after all others. On sierra-cambios-grown scale-1, half of the waiting
// gangs were ranked as late although they could still meet their objective.
func TestShortEstimateKeepsRank(t *testing.T) {
	s := newDispatcherHarness(t, 4, largeWorker)
	for range minObservedSteps * 2 {
		for range 2 { // the queue's tasks run for about 5 s, whatever the estimate
			r := s.dispatcher.runTimeModels["batch"]
			if r == nil {
				r = &runTimeModel{}
				s.dispatcher.runTimeModels["batch"] = r
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
	if r, _ := s.dispatcher.rankOf(gang); r != rankOnTime {
		t.Errorf("rank %d after 4 s, want rankOnTime: the objective is about 11 s", r)
	}
}
