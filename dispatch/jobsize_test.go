package dispatch

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
	"github.com/mangodrum/mangodrum/tablestore"
	"github.com/mangodrum/mangodrum/workflow"
)

// largestJob returns a job whose numbers have the longest encoding, with the given texts.
func largestJob(spec, text string) workflow.Job {
	job := workflow.Job{ID: "0123456789abcdef", Spec: spec, Occurrences: math.MaxInt, FirstDue: math.MaxInt64, Interval: math.MaxInt64}
	for n := range workflow.MaxSteps {
		step := workflow.Step{
			Tasks: math.MaxInt, Resources: structs.Resources{MilliCPU: math.MaxInt64, MemoryBytes: math.MaxInt64, Accelerators: math.MaxInt64},
			Estimate: math.MaxInt64, Gang: true, SameRack: true, Checkpoints: true, RequiredLabel: text, DataRack: structs.Rack(text), MaxPerWorker: math.MaxInt,
			Speculative: true, LongRunning: true, Image: text, TailLatencyObjective: math.MaxInt64, BestEffort: true, MaxUnavailable: math.MaxInt,
		}
		for before := range n {
			step.DependsOn = append(step.DependsOn, before)
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// TestSpecSizeIsUpperEstimate guards against a job that is accepted as small enough and
// outgrows its row, or a commit whose rows take more than was counted.
func TestSpecSizeIsUpperEstimate(t *testing.T) {
	queue := workflow.Queue{
		Name: "queue", Service: "svc", Priority: math.MaxInt, MaxAttempts: math.MaxInt, StretchFactor: math.Pi, Allowance: math.MaxInt64,
		Advisor: &workflow.Advisor{BaseTime: math.MaxInt64, TimePerWorker: math.MaxInt64, Validity: math.MaxInt64},
	}
	for _, text := range []string{"", "rack-1", strings.Repeat("x", 300)} {
		job := largestJob(strings.Repeat("s", 4000), text)
		data, err := cbor.Marshal([]storedJob{{job, queue, math.MaxInt64}})
		if err != nil {
			t.Fatal(err)
		}
		if size := specSize(&job, &queue); size < len(data) {
			t.Errorf("estimate %d for %d bytes with texts of %d", size, len(data), len(text))
		}
	}
}

// TestJobTooLargeForTheStoreIsRefused guards against one job that stops the cell: a
// specification of 100 KB was accepted for the next commit, and the store rejected that
// and every later commit, with the jobs of all other callers.
func TestJobTooLargeForTheStoreIsRefused(t *testing.T) {
	small := arrayJob(1, false)
	for name, large := range map[string]SubmitJob{
		"specification": {Job: workflow.Job{ID: "00000000000000a1", Spec: strings.Repeat("s", 100_000), Steps: small.Steps}, Queue: batchQueue(nil)},
		"names":         {Job: largestJob("", strings.Repeat("x", 2000)), Queue: batchQueue(nil)},
		"queue":         {Job: workflow.Job{ID: "00000000000000a1", Steps: small.Steps}, Queue: workflow.Queue{Name: strings.Repeat("q", 60_000), Service: "svc"}},
	} {
		t.Run(name, func(t *testing.T) {
			if err := CheckSize(&large.Job, &large.Queue); !errs.Is(err, errs.InvalidInput) {
				t.Errorf("error %v, want invalid-input", err)
			}
			s := newDispatcherHarness(t, 1, largeWorker)
			large.Call = 1
			s.reduce(large)
			s.reduce(SubmitJob{Call: 2, Job: small, Queue: batchQueue(nil)})
			s.commitWithinLimits(map[tablestore.RowID][]byte{})
			replies := s.repliesByCall()
			if replies[1].Verdict != Refused || replies[2].Verdict != Accepted {
				t.Errorf("answers to the large and the small job: %q and %q, want refused and accepted", replies[1].Verdict, replies[2].Verdict)
			}
		})
	}
}

// TestUsualJobsAreSmallEnough guards against refusing a job that the platform allows: a
// specification of 4,000 bytes and 64 steps, each after all before it.
func TestUsualJobsAreSmallEnough(t *testing.T) {
	job, queue := largestJob(strings.Repeat("s", 4000), "label-0001"), batchQueue(&workflow.Advisor{BaseTime: time.Second})
	if err := CheckSize(&job, &queue); err != nil {
		t.Error(err)
	}
}
