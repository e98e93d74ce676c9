package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/mangodrum/mangodrum/structs"
)

// model tracks the reservations of every worker in plain maps and compares them
// with the index.
type model struct {
	x             *Index
	r             *rand.Rand
	listed        map[structs.WorkerID]structs.Worker
	unschedulable map[structs.WorkerID]bool
	tasks         []placedTask
	used          map[structs.WorkerID]structs.Resources
}

func newModel(seed int64) *model {
	return &model{
		x: New(), r: rand.New(rand.NewPCG(uint64(seed), 0)),
		listed: map[structs.WorkerID]structs.Worker{}, unschedulable: map[structs.WorkerID]bool{},
		used: map[structs.WorkerID]structs.Resources{},
	}
}

func (m *model) randomID() structs.WorkerID { return structs.WorkerID(fmt.Sprint("w", m.r.IntN(24))) }

func (m *model) randomTask() Request {
	req := Request{Resources: res(m.r.Int64N(5), m.r.Int64N(9), m.r.Int64N(10)/8)}
	if m.r.IntN(3) == 0 {
		req.SpreadKey = fmt.Sprint("k", m.r.IntN(3))
	}
	switch m.r.IntN(6) {
	case 0:
		req.Constraint.Regions = []structs.Region{"r0"}
	case 1:
		req.Constraint.Labels = map[string]string{"disk": "ssd"}
	case 2:
		req.Constraint.ExcludeWorkers = []structs.WorkerID{m.randomID(), m.randomID()}
	case 3:
		req.PreferRegion, req.AffinityCost = "r1", m.r.Int64N(101)
	case 4:
		req.Constraint.FailureDomains = []structs.FailureDomain{"d1", "d2"}
	}
	return req
}

func (m *model) upsert() {
	id := m.randomID()
	d := m.r.IntN(4)
	w := newWorker(string(id), fmt.Sprint("r", d%2), fmt.Sprint("d", d), res(m.r.Int64N(17), m.r.Int64N(33), m.r.Int64N(8)/6*2))
	if m.r.IntN(3) == 0 {
		w.Labels = map[string]string{"disk": "ssd"}
	}
	if m.r.IntN(6) == 0 {
		w.State = structs.Leaving
	}
	m.listed[id] = w
	m.x.Upsert(w)
}

func (m *model) canTake(id structs.WorkerID, req *Request) bool {
	w, ok := m.listed[id]
	if !ok || m.unschedulable[id] || w.State != structs.Live || !req.Resources.Fits(w.Capacity.Sub(m.used[id])) {
		return false
	}
	rec := workerRecord{Worker: w}
	return allowsWorker(&req.Constraint, &rec) && allowsDomain(&req.Constraint, domainKey{w.Location.Region, w.Location.FailureDomain})
}

func (m *model) reserve(id structs.WorkerID, req *Request) string {
	free := Request{Resources: req.Resources}
	want := m.canTake(id, &free)
	if got := m.x.Reserve(id, req.Resources, req.SpreadKey); got != want {
		return fmt.Sprintf("Reserve(%s, %s) = %v, want %v", id, req.Resources, got, want)
	}
	if want {
		m.used[id] = m.used[id].Add(req.Resources)
		m.tasks = append(m.tasks, placedTask{id: id, r: req.Resources, key: req.SpreadKey})
	}
	return ""
}

func (m *model) release() {
	if len(m.tasks) == 0 {
		return
	}
	i := m.r.IntN(len(m.tasks))
	task := m.tasks[i]
	m.tasks[i] = m.tasks[len(m.tasks)-1]
	m.tasks = m.tasks[:len(m.tasks)-1]
	m.used[task.id] = m.used[task.id].Sub(task.r)
	m.x.Release(task.id, task.r, task.key)
}

// find checks that Find returns an allowed worker if and only if there is one.
func (m *model) find() string {
	req := m.randomTask()
	any := false
	for id := range m.listed {
		any = any || m.canTake(id, &req)
	}
	id, ok := m.x.Find(&req)
	if ok != any || ok && !m.canTake(id, &req) {
		return fmt.Sprintf("Find(%+v) = %q, %v, want a worker: %v", req, id, ok, any)
	}
	if e := m.x.Explain(&req); (e.Fitting > 0) != any {
		return fmt.Sprintf("Explain counts %d fitting workers, want at least one: %v", e.Fitting, any)
	}
	if ok {
		return m.reserve(id, &req)
	}
	return ""
}

// findGang checks that FindGang returns workers for all tasks or for none, and
// that it does not change the index.
func (m *model) findGang() string {
	gang := make([]Request, 1+m.r.IntN(6))
	for i := range gang {
		gang[i] = m.randomTask()
	}
	before := m.x.Domains()
	placed, ok := m.x.FindGang(gang)
	if after := m.x.Domains(); !reflect.DeepEqual(before, after) {
		return fmt.Sprintf("FindGang changed the usage from %v to %v", before, after)
	}
	if !ok && placed != nil || ok && len(placed) != len(gang) {
		return fmt.Sprintf("FindGang = %v, %v for %d tasks", placed, ok, len(gang))
	}
	for i, id := range placed {
		if !m.canTake(id, &gang[i]) {
			return fmt.Sprintf("gang task %d may not run on %s", i, id)
		}
		if fault := m.reserve(id, &gang[i]); fault != "" {
			return fault
		}
	}
	return ""
}

func (m *model) step() string {
	switch m.r.IntN(10) {
	case 0, 1:
		m.upsert()
	case 2:
		id := m.randomID()
		delete(m.listed, id)
		m.x.Remove(id)
	case 3:
		id := m.randomID()
		m.unschedulable[id] = m.r.IntN(3) == 0
		m.x.SetSchedulable(id, !m.unschedulable[id])
	case 4:
		req := m.randomTask()
		return m.reserve(m.randomID(), &req)
	case 5, 6:
		m.release()
	case 7:
		return m.findGang()
	default:
		return m.find()
	}
	return ""
}

// check compares the free resources of every worker with the model.
func (m *model) check() string {
	for id, w := range m.listed {
		if free, ok := m.x.Free(id); !ok || free != w.Capacity.Sub(m.used[id]) {
			return fmt.Sprintf("%s: free %s, want %s", id, free, w.Capacity.Sub(m.used[id]))
		}
	}
	return ""
}

// Guards against overcommitted workers, fitting workers that Find misses,
// workers that violate a constraint, and partial gangs, in random sequences of
// all operations.
func TestIndexAgreesWithModel(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(2100)
	params.MinSuccessfulTests = 100
	properties := gopter.NewProperties(params)
	properties.Property("random changes", prop.ForAll(func(seed int64) string {
		m := newModel(seed)
		for range 20 {
			m.upsert()
		}
		for range 400 {
			if fault := m.step(); fault != "" {
				return fault
			}
			if fault := m.check(); fault != "" {
				return fault
			}
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}
