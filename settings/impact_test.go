package settings

import (
	"reflect"
	"testing"

	"github.com/mangodrum/mangodrum/structs"
)

// Guards against an impact that omits teams that inherit a change, or includes
// teams that override it.
func TestImpactFollowsInheritance(t *testing.T) {
	const text = `apiVersion: mangodrum/v1
kind: Settings
classes:
  - {name: urgent, urgency: urgent, weight: 600}
  - {name: normal, urgency: normal, weight: 300}
branches:
  - path: /
  - path: /b
    set: {weight: 5, deadline: 6s}
  - path: /b/inherits
  - path: /b/overrides
    set: {weight: 9}
  - path: /c
`
	old := mustDecode(t, text)
	jobs := []structs.Job{
		{ID: "1", Team: "/b/inherits", Class: "normal"}, {ID: "2", Team: "/b/overrides", Class: "normal"},
		{ID: "3", Team: "/c", Class: "urgent"}, {ID: "4", Team: "/b/inherits", Class: "urgent"},
	}
	apply := func(changes ...Change) Impact {
		t.Helper()
		next, err := Apply(old, changes)
		if err != nil {
			t.Fatal(err)
		}
		return ImpactOf(old, next, jobs)
	}
	got := apply(Change{Path: "/b", Field: "weight", Old: "5", New: "6"})
	want := []TeamImpact{
		{Team: "/b", Fields: []Change{{Path: "/b", Field: "weight", Old: "5", New: "6"}}},
		{Team: "/b/inherits", Jobs: 2, Fields: []Change{{Path: "/b/inherits", Field: "weight", Old: "5", New: "6"}}},
	}
	if !reflect.DeepEqual(got.Teams, want) || !reflect.DeepEqual(got.Jobs, []structs.JobID{"1", "4"}) {
		t.Errorf("weight of /b: %+v", got)
	}
	got = apply(Change{Path: "classes/urgent", Field: "weight", Old: "600", New: "500"})
	if len(got.Teams) != 0 || !reflect.DeepEqual(got.Classes, []structs.ClassName{"urgent"}) || !reflect.DeepEqual(got.Jobs, []structs.JobID{"3", "4"}) {
		t.Errorf("class: %+v", got)
	}
	got = apply(Change{Path: "/c", Old: ValuePresent})
	if len(got.Teams) != 1 || got.Teams[0].Team != "/c" || len(got.Jobs) != 1 {
		t.Errorf("removed branch: %+v", got)
	}
	if got := ImpactOf(nil, old, nil); len(got.Teams) != 5 {
		t.Errorf("first version: %d teams", len(got.Teams))
	}
}

// Guards against resolved fields that differ from Resolve or name the wrong
// origin. Guaranteed quota is not inherited.
func TestResolveFieldsNamesTheOrigin(t *testing.T) {
	fields := map[string]ResolvedField{}
	for _, field := range mustDecode(t, validTree).ResolveFields("/b/x") {
		fields[field.Field] = field
	}
	for _, want := range []ResolvedField{
		{"weight", "7", "/b/x"}, {"cross_region_cost_ms", "40", "/b"}, {"class", "normal", "/"},
		{"retry.budget", "0.1", "default"}, {"quota.guaranteed.cpu", "4", "/b/x"}, {"quota.borrow.cpu", "2", "/b"},
		{"quota.guaranteed.memory", "0B", "default"},
	} {
		if fields[want.Field] != want {
			t.Errorf("got %+v, want %+v", fields[want.Field], want)
		}
	}
	if mustDecode(t, validTree).ResolveFields("/none") != nil {
		t.Error("fields of an unknown branch")
	}
}
