package settings

import (
	"fmt"

	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/structs"
)

// floorTolerance allows for rounding errors in sums of decimal fractions.
const floorTolerance = 1e-9

// maxBranches limits the size of a tree to about ten times the target of 390
// teams. It also prevents overflow of quota sums.
const maxBranches = 4000

// check reports violations of the rules that involve more than one field.
func (t *Tree) check(report *strictyaml.Report) {
	t.checkClasses(report)
	t.checkBranches(report)
	t.checkQuota(report)
}

func (t *Tree) checkClasses(report *strictyaml.Report) {
	if len(t.Classes) == 0 {
		report.Add("classes", "declare at least one class", "has no class")
	}
	seen := map[structs.ClassName]int{}
	sum := 0.0
	for i, class := range t.Classes {
		field := fmt.Sprintf("classes[%d].name", i)
		if first, ok := seen[class.Name]; ok && class.Name != "" {
			report.Add(field, "rename or remove one of the two", "class %q is already declared at line %d",
				class.Name, report.Line(fmt.Sprintf("classes[%d].name", first)))
			continue
		}
		seen[class.Name] = i
		if class.Floor == nil {
			continue
		}
		sum += float64(*class.Floor)
		if sum > 1+floorTolerance {
			report.Add(fmt.Sprintf("classes[%d].floor", i), "lower the floors so that their sum is at most 1",
				"the floors up to this one sum to %.6g", sum)
		}
	}
}

func (t *Tree) checkBranches(report *strictyaml.Report) {
	if len(t.Branches) > maxBranches {
		report.Add("branches", "merge teams that share their settings", "has %d branches, more than %d",
			len(t.Branches), maxBranches)
		return
	}
	seen := map[structs.TeamID]int{}
	for i, branch := range t.Branches {
		if first, ok := seen[branch.Path]; ok && branch.Path != "" {
			report.Add(fmt.Sprintf("branches[%d].path", i), "merge the two branches", "path %q is already used at line %d",
				branch.Path, report.Line(fmt.Sprintf("branches[%d].path", first)))
			continue
		}
		seen[branch.Path] = i
	}
	if _, ok := seen["/"]; !ok {
		report.Add("branches", `add a branch with path "/"`, "has no root")
	}
	for i, branch := range t.Branches {
		t.checkBranch(report, fmt.Sprintf("branches[%d]", i), branch, seen)
	}
}

func (t *Tree) checkBranch(report *strictyaml.Report, field string, branch Branch, seen map[structs.TeamID]int) {
	if branch.Path != "" && branch.Path != "/" {
		parent := parentOf(branch.Path)
		if _, ok := seen[parent]; !ok && parent != "/" {
			report.Add(field+".path", fmt.Sprintf("add a branch with path %q", parent),
				"the parent of %q is missing", branch.Path)
		}
	}
	if class := branch.Overrides.Class; class != nil {
		if _, ok := t.Class(*class); !ok {
			report.Add(field+".set.class", "declare the class under classes or use a declared one",
				"class %q is not declared", *class)
		}
	}
	batch := branch.Overrides.Batch
	if (batch.WindowStart == nil) != (batch.WindowEnd == nil) {
		report.Add(field+".set.batch", "set both window_start and window_end",
			"only one end of the batch window is set")
	}
}

// checkQuota requires that the guaranteed quotas of the children of a branch sum
// to at most the branch's own guaranteed quota.
func (t *Tree) checkQuota(report *strictyaml.Report) {
	if len(t.Branches) > maxBranches {
		return
	}
	index := map[structs.TeamID]int{}
	for i, branch := range t.Branches {
		index[branch.Path] = i
	}
	sums := map[structs.TeamID]structs.Resources{}
	for i, branch := range t.Branches {
		if branch.Path == "/" || branch.Path == "" || index[branch.Path] != i {
			continue
		}
		parent, ok := index[parentOf(branch.Path)]
		if !ok {
			continue
		}
		path := t.Branches[parent].Path
		before := sums[path]
		sums[path] = before.Add(branch.Overrides.guaranteed())
		limit := t.Branches[parent].Overrides.guaranteed()
		reportExcess(report, fmt.Sprintf("branches[%d].set.quota.guaranteed", i), path, sums[path], before, limit)
	}
}

func (s Overrides) guaranteed() structs.Resources {
	var r structs.Resources
	s.Quota.Guaranteed.override(&r)
	return r
}

// reportExcess reports each resource that a child increases from before to a sum
// above limit.
func reportExcess(report *strictyaml.Report, field string, parent structs.TeamID, sum, before, limit structs.Resources) {
	remedy := fmt.Sprintf("lower the children's guaranteed quota or raise the guaranteed quota of %q", parent)
	add := func(name, sum, limit string) {
		report.Add(field+"."+name, remedy,
			"the children of %q up to this one are guaranteed %s, more than its own %s", parent, sum, limit)
	}
	if sum.MilliCPU > limit.MilliCPU && sum.MilliCPU > before.MilliCPU {
		add("cpu", Cores(sum.MilliCPU).Text()+" cores", Cores(limit.MilliCPU).Text())
	}
	if sum.MemoryBytes > limit.MemoryBytes && sum.MemoryBytes > before.MemoryBytes {
		add("memory", Bytes(sum.MemoryBytes).Text(), Bytes(limit.MemoryBytes).Text())
	}
	if sum.Accelerators > limit.Accelerators && sum.Accelerators > before.Accelerators {
		add("accelerators", fmt.Sprint(sum.Accelerators, " accelerators"), fmt.Sprint(limit.Accelerators))
	}
}
