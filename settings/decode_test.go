package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/internal/strictyaml"
	"github.com/mangodrum/mangodrum/structs"
)

const validTree = `apiVersion: mangodrum/v1
kind: Settings
classes:
  - {name: urgent, urgency: urgent, weight: 600, floor: 0.3, default_deadline: 6s}
  - {name: normal, urgency: normal, weight: 300, floor: 0.7}
branches:
  - path: /
    set:
      class: normal
      quota: {guaranteed: {cpu: 10.5, memory: 64GiB, accelerators: 2}}
  - path: /b/x
    set: {weight: 7, quota: {guaranteed: {cpu: 4}}}
  - path: /b
    set:
      cross_region_cost_ms: 40
      quota: {guaranteed: {cpu: 8, memory: 32GiB}, borrow: {cpu: 2}}
      batch: {window_start: "22:00", window_end: "05:00"}
`

func mustDecode(t testing.TB, text string) *Tree {
	t.Helper()
	tree, err := Decode("t.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// Guards against inheritance that ignores an override or inherits a guarantee.
func TestResolveInherits(t *testing.T) {
	tree := mustDecode(t, validTree)
	got, err := tree.Resolve("/b/x")
	if err != nil {
		t.Fatal(err)
	}
	if got.Class != "normal" || got.Weight != 7 || got.CrossRegionCost != 40*time.Millisecond {
		t.Errorf("resolved %+v", got)
	}
	if got.Guaranteed != (structs.Resources{MilliCPU: 4000}) || got.BorrowLimit.MilliCPU != 2000 {
		t.Errorf("quota %v, borrow %v", got.Guaranteed, got.BorrowLimit)
	}
	if got.RetryBudget != 0.1 || got.TaskLease != 30*time.Second {
		t.Errorf("defaults %+v", got)
	}
	if _, err := tree.Resolve("/c"); !errs.Is(err, errs.NotFound) {
		t.Errorf("unknown branch: %v", err)
	}
}

// Guards against a field of Overrides that has no effect on Effective.
func TestEveryFieldTakesEffect(t *testing.T) {
	samples := map[string]string{
		"class": "urgent", "placement.spread": "false",
		"retry.backoff":      "77ms",
		"batch.window_start": "01:00", "batch.window_end": "02:00",
	}
	for _, info := range strictyaml.Describe(Overrides{}) {
		values := []string{samples[info.Field]}
		if values[0] == "" {
			values = []string{"77", "0.77", "77s", "77MiB", "7"}
		}
		var set Overrides
		for _, value := range values {
			if strictyaml.SetField(&set, info.Field, value) == nil {
				break
			}
		}
		var before, after Effective
		before.apply(Defaults())
		after.apply(Defaults())
		after.apply(set)
		if before == after {
			t.Errorf("%s has no effect", info.Field)
		}
	}
}

// Guards against a decoder that ignores errors, reports only the first one, or
// omits file, line, field or remedy.
func TestDecodeReportsEveryError(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", "weight: 7,", "wait: 7,", "t.yaml:12: branches[1].set.wait: unknown field"},
		{"missing unit", "default_deadline: 6s", "default_deadline: 6", "t.yaml:4: classes[0].default_deadline"},
		{"wrong unit", "memory: 64GiB", "memory: 64GB", "t.yaml:10: branches[0].set.quota.guaranteed.memory"},
		{"fraction", "floor: 0.3", "floor: 1.3", "t.yaml:4: classes[0].floor"},
		{"out of range", "weight: 600", "weight: 0", "t.yaml:4: classes[0].weight"},
		{"cores as text", "cpu: 10.5", `cpu: "10"`, "t.yaml:10: branches[0].set.quota.guaranteed.cpu"},
		{"duplicate path", "path: /b/x", "path: /b", "t.yaml:13: branches[2].path"},
		{"missing parent", "path: /b/x", "path: /q/x", "t.yaml:11: branches[1].path"},
		{"no root", "path: /\n", "path: /z\n", "branches: has no root"},
		{"floors", "floor: 0.7", "floor: 0.71", "t.yaml:5: classes[1].floor"},
		{"children's quota", "{cpu: 4}", "{cpu: 9}", "t.yaml:12: branches[1].set.quota.guaranteed.cpu"},
		{"undeclared class", "class: normal", "class: nomal", "t.yaml:9: branches[0].set.class"},
		{"window without end", `, window_end: "05:00"`, "", "t.yaml:17: branches[2].set.batch"},
		{"urgency", "urgency: normal", "urgency: slow", "t.yaml:5: classes[1].urgency"},
		{"repeated key", "set: {weight: 7,", "set: {weight: 7, weight: 8,", "t.yaml:12: branches[1].set.weight"},
		{"anchor", "class: normal", "class: &a normal", "t.yaml:9: anchors"},
		{"kind", "kind: Settings", "kind: Job", "t.yaml:2: kind"},
		{"null", "class: normal", "class:", "t.yaml:9: branches[0].set.class"},
		{"syntax", "kind: Settings", "kind: [", "YAML syntax"},
		{"second document", "classes:", "---\nclasses:", "2 YAML documents"},
	}
	for _, c := range cases {
		text := strings.Replace(validTree, c.old, c.new, 1)
		if text == validTree {
			t.Fatalf("%s: nothing replaced", c.name)
		}
		tree, err := Decode("t.yaml", []byte(text))
		if tree != nil || !errs.Is(err, errs.InvalidInput) {
			t.Errorf("%s: tree %v, error %v", c.name, tree != nil, err)
			continue
		}
		if !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "remedy: ") {
			t.Errorf("%s: got %q, want %q with a remedy", c.name, err, c.want)
		}
	}
	text := strings.NewReplacer("weight: 600", "weight: 0", "memory: 64GiB", "memory: 64", "{cpu: 4}", "{cpu: 9}").Replace(validTree)
	_, err := Decode("t.yaml", []byte(text))
	if lines := strings.Count(err.Error(), "\n") + 1; lines != 4 {
		t.Errorf("%d lines for 4 errors:\n%v", lines, err) // the wrong memory also makes the root's guarantee smaller than its child's
	}
}

// Guards against an encoding that loses or reorders settings.
func TestEncodeIsCanonical(t *testing.T) {
	tree := mustDecode(t, validTree)
	again := mustDecode(t, string(tree.Encode()))
	if !reflect.DeepEqual(tree, again) || tree.Hash() != again.Hash() {
		t.Errorf("round trip changed the tree:\n%s", again.Encode())
	}
	reordered := strings.Replace(validTree, "weight: 7, quota: {guaranteed: {cpu: 4}}", "quota: {guaranteed: {cpu: 4.000}}, weight: 7", 1)
	if mustDecode(t, reordered).Hash() != tree.Hash() {
		t.Error("the order of fields changed the hash")
	}
	other := strings.Replace(validTree, "weight: 7", "weight: 8", 1)
	if mustDecode(t, other).Hash() == tree.Hash() {
		t.Error("a change did not change the hash")
	}
}

// Guards against differences that do not turn the old tree into the new one.
func TestDiffAndApply(t *testing.T) {
	old := mustDecode(t, validTree)
	text := strings.NewReplacer(
		"weight: 7, ", "",
		"name: urgent, urgency: urgent", "name: first, urgency: urgent",
		"path: /b/x", "path: /b/y",
		"cross_region_cost_ms: 40", "cross_region_cost_ms: 50",
	).Replace(validTree)
	next := mustDecode(t, text)
	for _, pair := range [][2]*Tree{{old, next}, {next, old}, {nil, old}} {
		before := []byte(nil)
		if pair[0] != nil {
			before = pair[0].Encode()
		}
		changes := Diff(pair[0], pair[1])
		got, err := Apply(pair[0], changes)
		if err != nil {
			t.Fatal(err)
		}
		if got.Hash() != pair[1].Hash() {
			t.Errorf("got\n%swant\n%s", got.Encode(), pair[1].Encode())
		}
		if pair[0] != nil && string(pair[0].Encode()) != string(before) {
			t.Error("Apply modified its input")
		}
	}
	if changes := Diff(old, old); len(changes) != 0 {
		t.Errorf("difference to itself: %v", changes)
	}
	stale := []Change{{Path: "/b", Field: "cross_region_cost_ms", Old: "39", New: "45"}}
	if _, err := Apply(old, stale); !errs.Is(err, errs.Conflict) {
		t.Errorf("stale change: %v", err)
	}
	invalid := []Change{{Path: "/b/x", Field: "quota.guaranteed.cpu", Old: "4", New: "9"}}
	if _, err := Apply(old, invalid); !errs.Is(err, errs.InvalidInput) {
		t.Errorf("invalid result: %v", err)
	}
}

// Guards against wrong results for batch windows that extend past midnight.
func TestWindow(t *testing.T) {
	at := func(text string) structs.Timestamp {
		v, err := time.Parse(time.RFC3339, text)
		if err != nil {
			t.Fatal(err)
		}
		return structs.TimestampOf(v)
	}
	night := DailyWindow{Start: 22 * 60, End: 5 * 60}
	for text, open := range map[string]bool{
		"2027-01-01T21:59:59Z": false, "2027-01-01T22:00:00Z": true,
		"2027-01-01T04:59:59Z": true, "2027-01-01T05:00:00Z": false,
	} {
		if night.Contains(at(text)) != open {
			t.Errorf("%s: open is not %v", text, open)
		}
	}
	if got := night.Next(at("2027-01-01T12:00:00Z")); got != at("2027-01-01T22:00:00Z") {
		t.Errorf("next %v", got.Time())
	}
	day := DailyWindow{Start: 60, End: 120}
	if got := day.Next(at("2027-01-01T12:00:00Z")); got != at("2027-01-02T01:00:00Z") {
		t.Errorf("next %v", got.Time())
	}
	if !(DailyWindow{}).Contains(at("2027-01-01T12:00:00Z")) {
		t.Error("the empty window is closed")
	}
}

// Guards against panics, and against accepted trees that change when they are
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validTree))
	for _, name := range []string{"bureau", "sierra-alta"} {
		data, err := os.ReadFile("../examples/" + name + "/settings.yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("apiVersion: mangodrum/v1\nkind: Settings\nclasses: []\nbranches: [{path: /}]\n"))
	f.Add([]byte("a: &a [*a, *a]\n"))
	f.Add([]byte("[[[[[[[["))
	f.Add([]byte("? - !!map {}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := Decode("f.yaml", data)
		if err != nil {
			if !errs.Is(err, errs.InvalidInput) {
				t.Fatalf("error without kind: %v", err)
			}
			return
		}
		again, err := Decode("f.yaml", tree.Encode())
		if err != nil || again.Hash() != tree.Hash() {
			t.Fatalf("round trip: %v\n%s", err, tree.Encode())
		}
	})
}
