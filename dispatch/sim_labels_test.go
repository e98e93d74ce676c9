package dispatch

import (
	"math/rand/v2"

	"github.com/mangodrum/mangodrum/workflow"
)

// lastSeedWithoutWorkerKinds is the last seed whose workers are all of one kind.
const lastSeedWithoutWorkerKinds = 150_000

// workerKinds gives workers a kind, of which some steps require one. A worker may be of
// the other kind after a restart.
type workerKinds struct {
	sim *simulation
	rng *rand.Rand
}

// kindNames are the labels of the kinds.
var kindNames = []string{"a", "b"}

// stableWorkers is the number of workers that keep their kind, so that each step has a
// worker at any time.
const stableWorkers = 4

// useWorkerKinds gives each worker a kind.
func (s *simulation) useWorkerKinds(seed uint64) {
	s.kinds = &workerKinds{sim: s, rng: rand.New(rand.NewPCG(seed, 20))}
	for n, w := range s.workers {
		w.Labels = []string{kindNames[n%len(kindNames)]}
	}
}

// drawRequirement lets some single tasks of a job require a kind.
func (k *workerKinds) drawRequirement(job *simJob) {
	if k == nil {
		return
	}
	for n := range job.job.Steps {
		if step := &job.job.Steps[n]; !step.Gang && k.rng.IntN(2) == 0 {
			step.RequiredLabel = kindNames[k.rng.IntN(len(kindNames))]
		}
	}
}

// restarted draws the kind of the next incarnation of a worker.
func (k *workerKinds) restarted(w *fakeWorker) {
	if k == nil || w.ID < k.sim.workers[stableWorkers].ID {
		return
	}
	w.Labels = []string{kindNames[k.rng.IntN(len(kindNames))]}
}

// checkStart checks that a worker has the required label of a step. A request that was
// meant for an earlier incarnation is not checked: the leader cannot know the next one.
func (k *workerKinds) checkStart(w *fakeWorker, order workflow.StartOrder, st *workflow.Step) {
	if k == nil || st.RequiredLabel == "" || w.askedAs != w.Incarnation || w.HasLabel(st.RequiredLabel) {
		return
	}
	k.sim.t.Errorf("%v: %s run %d, which requires %s, starts on %s incarnation %d, which is %v", k.sim.now, order.Task, order.Run, st.RequiredLabel, w.ID, w.Incarnation, w.Labels)
}
