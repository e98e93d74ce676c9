package daemon

import (
	"context"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/structs"
)

// unexercisedMetrics are the documented metrics that this test does not cause
// to be served.
var unexercisedMetrics = []string{"mangodrum_request_queue_depth", "mangodrum_request_queue_oldest_seconds"}

var (
	documentedRow = regexp.MustCompile("(?m)^\\| `(mangodrum_[a-z0-9_]+)` \\| (\\w+) \\| ([^|]+) \\| ([^|]+) \\|$")
	servedType    = regexp.MustCompile(`(?m)^# TYPE (\w+) (\w+)$`)
)

// Guards against differences between docs/metrics.md and the metrics that
// instances serve: documented metrics that are gone, and undocumented ones.
func TestMetricsPage(t *testing.T) {
	cell := startCell(t, "bureau")
	checkRequests(t, cell, "bureau")
	checkJob(t, cell, "bureau")
	client := operatorapi.NewClient(cell.operators[0], "")
	eventually(t, "a task runs", func() error { return usageReported(context.Background(), client) })
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]string{}
	for _, row := range documentedRow.FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = row[2]
	}
	served := servedMetrics(t, cell)
	for name, kind := range served {
		switch {
		case strings.HasPrefix(name, "go_"), strings.HasPrefix(name, "process_"):
		case documented[name] == "":
			t.Errorf("%s is served but not documented", name)
		case documented[name] != kind:
			t.Errorf("%s is a %s but documented as a %s", name, kind, documented[name])
		}
	}
	for name := range documented {
		if served[name] == "" && !slices.Contains(unexercisedMetrics, name) {
			t.Errorf("%s is documented but not served", name)
		}
	}
	if len(documented) < 60 || len(served) < 60 {
		t.Errorf("%d metrics documented, %d served, want at least 60 of each; check the patterns of this test", len(documented), len(served))
	}
	if err := cell.stop(); err != nil {
		t.Error(err)
	}
}

// servedMetrics returns the metrics of all instances: their types by name.
func servedMetrics(t *testing.T, cell *cellUnderTest) map[string]string {
	t.Helper()
	served := map[string]string{}
	for _, address := range cell.operators {
		_, body, err := fasthttp.Get(nil, "http://"+address+"/metrics")
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range servedType.FindAllStringSubmatch(string(body), -1) {
			kind := match[2]
			if kind == "untyped" {
				kind = "histogram" // the text format has no type for histograms with vmrange buckets
			}
			served[match[1]] = kind
		}
	}
	return served
}

// Guards against operator lists without the data that operators need first:
// waiting times, usage, and the health of the store as seen by each instance.
func TestOperatorListsAreComplete(t *testing.T) {
	cell := startCell(t, "bureau")
	checkJob(t, cell, "bureau")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	client := operatorapi.NewClient(cell.operators[1], "")
	queues, err := client.Queues(ctx)
	if err != nil {
		t.Fatal(err)
	}
	wait := queues.Classes
	if len(wait) != 1 || wait[0].Class != "urgent" || wait[0].Count != 3 || wait[0].P50 <= 0 || wait[0].P99 < wait[0].P50 {
		t.Errorf("waiting times: %+v, want 3 starts of class urgent", wait)
	}
	if !queues.Store.Reachable || queues.Store.Since == 0 {
		t.Errorf("store: %+v, want it reachable, with the time of the last change", queues.Store)
	}
	eventually(t, "every instance reports the store as reachable", func() error { return storesReachable(ctx, client) })
	eventually(t, "workers report their usage", func() error { return usageReported(ctx, client) })
	if err := cell.stop(); err != nil {
		t.Error(err)
	}
}

// storesReachable returns an error unless every instance reports the store as
// reachable.
func storesReachable(ctx context.Context, client *operatorapi.Client) error {
	list, err := client.Instances(ctx)
	for _, instance := range list.Instances {
		if instance.Store != operatorapi.StoreReachable {
			return errs.New(errs.NotRun, "", "store of %s: %q", instance.Info.ID, instance.Store)
		}
	}
	return err
}

// usageReported submits a job, the same one in every call, and returns an error
// until its worker reports the task's reservation and usage.
func usageReported(ctx context.Context, client *operatorapi.Client) error {
	job := structs.Job{
		ID: "usage", Team: "/bureau/dispatch", Class: "urgent", Kind: structs.KindBatch, Count: 1,
		Resources: structs.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}, Command: []string{"sleep", "1m"},
	}
	if _, err := client.SubmitJob(ctx, job); err != nil {
		return err
	}
	list, err := client.Workers(ctx)
	for _, w := range list.Workers {
		if w.Reserved.MilliCPU >= 2000 && w.Used.MilliCPU > 0 && w.ReportedAt > 0 && w.Tasks == 1 {
			return nil
		}
	}
	return errs.Wrap(err, errs.NotRun, "", "no worker shows the task's usage")
}
