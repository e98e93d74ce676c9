package examples

import (
	"io/fs"
	"testing"

	"github.com/mangodrum/mangodrum/config"
	"github.com/mangodrum/mangodrum/structs"
)

// Guards against example files that the decoders reject.
func TestEveryFilePassesCheck(t *testing.T) {
	count := 0
	err := fs.WalkDir(FS(), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		count++
		data, err := fs.ReadFile(FS(), path)
		if err != nil {
			return err
		}
		if _, err := config.Check(path, data); err != nil {
			t.Error(err)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if count < 20 {
		t.Fatalf("checked %d files, want at least 20", count)
	}
}

// Guards against example cells whose size differs from docs/design.md section 1.
func TestCellSizesMatchTheDesign(t *testing.T) {
	capacity := map[string]structs.Resources{
		"bureau":      {MilliCPU: 32_000, MemoryBytes: 128 << 30},
		"sierra-alta": {MilliCPU: 16_000, MemoryBytes: 32 << 30},
	}
	for _, name := range Names {
		workers, executors, instances, err := Cell(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(workers) != 50 || len(executors) != 50 || len(instances) != 3 {
			t.Errorf("%s: %d workers, %d executors, %d instances", name, len(workers), len(executors), len(instances))
		}
		domains := map[structs.FailureDomain]structs.Region{}
		racks := map[structs.Rack]int{}
		accelerators := int64(0)
		for _, w := range workers {
			domains[w.Location.FailureDomain] = w.Location.Region
			racks[w.Location.Rack]++
			accelerators += w.Capacity.Accelerators
			w.Capacity.Accelerators = 0
			if w.Capacity != capacity[name] {
				t.Errorf("worker %s: got capacity %v", w.ID, w.Capacity)
			}
		}
		for rack, count := range racks {
			if count > 8 {
				t.Errorf("rack %s has %d workers, want at most 8", rack, count)
			}
		}
		if len(domains) != 9 || accelerators == 0 {
			t.Errorf("%s: %d failure domains, %d accelerators", name, len(domains), accelerators)
		}
		for _, i := range instances {
			if domains[i.Location.FailureDomain] != i.Location.Region {
				t.Errorf("instance %s is in unknown domain %s", i.ID, i.Location.FailureDomain)
			}
		}
	}
}

// Guards against jobs and requests that name teams, classes or services that
// their example does not have, and against guaranteed quotas above the capacity.
func TestJobsAndRequestsMatchTheSettings(t *testing.T) {
	for _, name := range Names {
		tree, err := Settings(name)
		if err != nil {
			t.Fatal(err)
		}
		jobs, err := Jobs(name)
		if err != nil {
			t.Fatal(err)
		}
		kinds := map[structs.JobKind]bool{}
		for _, job := range jobs {
			kinds[job.Kind] = true
			if _, err := tree.Resolve(job.Team); err != nil {
				t.Errorf("job %s: %v", job.ID, err)
			}
			if _, ok := tree.Class(job.Class); !ok {
				t.Errorf("job %s: unknown class %q", job.ID, job.Class)
			}
		}
		if len(kinds) != 3 {
			t.Errorf("%s: got jobs of kinds %v, want all 3 kinds", name, kinds)
		}
		requests, err := Requests(name)
		if err != nil {
			t.Fatal(err)
		}
		topology, err := Topology(name)
		if err != nil {
			t.Fatal(err)
		}
		for id, request := range requests {
			if _, err := tree.Resolve(request.Team); err != nil || request.Service != topology.Executors.Service {
				t.Errorf("request %s: %v, service %s", id, err, request.Service)
			}
		}
		var total structs.Resources
		workers, _ := topology.WorkersAndExecutors()
		for _, w := range workers {
			total = total.Add(w.Capacity)
		}
		if root, _ := tree.Resolve("/"); !root.Guaranteed.Fits(total) {
			t.Errorf("%s: guaranteed quota %v exceeds the capacity %v", name, root.Guaranteed, total)
		}
	}
}
