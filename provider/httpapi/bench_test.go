package httpapi_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/provider/httpapi"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

// BenchmarkWorkerCall measures one call to a worker that runs the given number
// of tasks; the call renews the lease of one of them. cpu-us/call is the
// processor time of client and server together.
func BenchmarkWorkerCall(b *testing.B) {
	for _, tasks := range []int{0, 5, 10, 20} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			worker := structs.Worker{ID: "w", State: structs.Live, Capacity: structs.Resources{MilliCPU: 1 << 30, MemoryBytes: 1 << 60}}
			p, err := standin.Start("127.0.0.1:0", []structs.Worker{worker}, nil)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = p.Close() }()
			client := httpapi.New(p.Address, time.Minute)
			end := structs.TimestampOf(time.Now().Add(time.Hour))
			start := provider.WorkerBatch{}
			for n := range tasks {
				start.Starts = append(start.Starts, provider.StartTask{
					Task: structs.TaskIDFor("batch-2027-01-15", n), Attempt: 1, Command: []string{"serve"},
					Resources: structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, NotAfter: end, LeaseEnd: end,
				})
			}
			if _, err := client.Do(context.Background(), worker, start); err != nil {
				b.Fatal(err)
			}
			batch := provider.WorkerBatch{Renewals: []provider.LeaseRenewal{{Task: "batch-2027-01-15/0", Attempt: 1, LeaseEnd: end}}}
			used := processorTime()
			calls := 0
			for b.Loop() {
				if _, err := client.Do(context.Background(), worker, batch); err != nil {
					b.Fatal(err)
				}
				calls++
			}
			b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(calls), "cpu-us/call")
		})
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var _ provider.Workers = (*httpapi.Client)(nil)
