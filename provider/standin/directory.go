package standin

import (
	"context"
	"sort"
	"sync"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Directory is an in-memory list of machines.
type Directory struct {
	mu        sync.Mutex
	instances map[structs.InstanceID]structs.InstanceInfo
	workers   map[structs.WorkerID]structs.Worker
	executors map[structs.ExecutorID]structs.Executor
}

var _ provider.Directory = (*Directory)(nil)

// NewDirectory returns a directory of the given workers and executors.
func NewDirectory(workers []structs.Worker, executors []structs.Executor) *Directory {
	d := &Directory{
		instances: map[structs.InstanceID]structs.InstanceInfo{},
		workers:   map[structs.WorkerID]structs.Worker{},
		executors: map[structs.ExecutorID]structs.Executor{},
	}
	for _, worker := range workers {
		d.workers[worker.ID] = worker
	}
	for _, executor := range executors {
		d.executors[executor.ID] = executor
	}
	return d
}

// Register implements provider.Directory.
func (d *Directory) Register(_ context.Context, self structs.InstanceInfo) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances[self.ID] = self
	return nil
}

// Instances implements provider.Directory.
func (d *Directory) Instances(context.Context) ([]structs.InstanceInfo, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedValues(d.instances), nil
}

// Workers implements provider.Directory.
func (d *Directory) Workers(context.Context) ([]structs.Worker, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedValues(d.workers), nil
}

// Executors implements provider.Directory.
func (d *Directory) Executors(context.Context) ([]structs.Executor, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return sortedValues(d.executors), nil
}

// SetWorkerState changes the listed state of a worker.
func (d *Directory) SetWorkerState(id structs.WorkerID, state structs.Lifecycle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if worker, ok := d.workers[id]; ok {
		worker.State = state
		d.workers[id] = worker
	}
}

// SetExecutorState changes the listed state of an executor.
func (d *Directory) SetExecutorState(id structs.ExecutorID, state structs.Lifecycle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if executor, ok := d.executors[id]; ok {
		executor.State = state
		d.executors[id] = executor
	}
}

// SetInstanceState changes the listed state of an instance.
func (d *Directory) SetInstanceState(id structs.InstanceID, state structs.Lifecycle) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if instance, ok := d.instances[id]; ok {
		instance.State = state
		d.instances[id] = instance
	}
}

func sortedValues[K ~string, V any](m map[K]V) []V {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, string(key))
	}
	sort.Strings(keys)
	values := make([]V, 0, len(keys))
	for _, key := range keys {
		values = append(values, m[K(key)])
	}
	return values
}
