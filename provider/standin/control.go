package standin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

// Operations that control the simulated platform. They are not part of the
// platform's protocol.
const (
	OpFault = "standin/fault"
	OpState = "standin/state"
	OpStats = "standin/stats"
)

// FaultRequest sets the faults of subsequent calls of the store.
type FaultRequest struct {
	Unavailable bool `json:"unavailable,omitempty"`
	// LoseReplyEvery makes every n-th commit report an unknown outcome although
	// it is applied; RefuseEvery rejects every n-th call. 0 means never.
	LoseReplyEvery int           `json:"lose_reply_every,omitempty"`
	RefuseEvery    int           `json:"refuse_every,omitempty"`
	Delay          time.Duration `json:"delay_ns,omitempty"`
	MaxBytes       int64         `json:"max_bytes,omitempty"` // 0 means no limit
}

// StateRequest changes the listed state of one machine.
type StateRequest struct {
	Worker   structs.WorkerID   `json:"worker,omitempty"`
	Executor structs.ExecutorID `json:"executor,omitempty"`
	Instance structs.InstanceID `json:"instance,omitempty"`
	State    structs.Lifecycle  `json:"state"`
}

// Stats holds counts since the start. OversizedStarts (starts beyond the
// capacity of a worker) and RejectedRequests (requests beyond the slots of an
// executor) are violations by the system under test.
type Stats struct {
	Writes           uint64 `json:"writes"`
	Reads            uint64 `json:"reads"`
	OversizedStarts  int    `json:"overruns"`
	RejectedRequests int64  `json:"over_slots"`
	Served           int64  `json:"served"`
	Starts           int    `json:"starts"`
	// DoubleRuns counts tasks of which two attempts ran at the same time.
	DoubleRuns int `json:"double_runs"`
}

// faultPlan applies a FaultRequest to successive calls.
type faultPlan struct {
	mu      sync.Mutex
	request FaultRequest
	calls   int
	commits int
}

func (f *faultPlan) set(request FaultRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.request, f.calls, f.commits = request, 0, 0
}

func (f *faultPlan) next(op string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	fault := Fault{Unavailable: f.request.Unavailable, Delay: f.request.Delay}
	if n := f.request.RefuseEvery; n > 0 && f.calls%n == 0 {
		fault.Unavailable = true
	}
	if op == "commit" {
		f.commits++
		n := f.request.LoseReplyEvery
		fault.LoseReply = n > 0 && f.commits%n == 0
	}
	return fault
}

// control executes an operation that controls the simulated platform.
func (p *Platform) control(op string, body []byte) (any, error) {
	switch op {
	case OpFault:
		var request FaultRequest
		if err := decodeControl(op, body, &request); err != nil {
			return nil, err
		}
		p.Store.SetMaxBytes(request.MaxBytes)
		p.faults.set(request)
		return struct{}{}, nil
	case OpState:
		var request StateRequest
		if err := decodeControl(op, body, &request); err != nil {
			return nil, err
		}
		p.Directory.SetWorkerState(request.Worker, request.State)
		p.Directory.SetExecutorState(request.Executor, request.State)
		p.Directory.SetInstanceState(request.Instance, request.State)
		return struct{}{}, nil
	case OpStats:
		return p.Stats(), nil
	}
	return nil, errs.New(errs.InvalidInput, "use an operation of package standin", "operation %q does not exist", op)
}

func decodeControl(op string, body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return errs.Wrap(err, errs.InvalidInput, "send a JSON object", "decode call %q", op)
	}
	return nil
}

// Stats returns the counts of the store, the workers and the executors.
func (p *Platform) Stats() Stats {
	var stats Stats
	stats.Writes, stats.Reads = p.Store.Counts()
	for _, e := range p.Executors {
		stats.RejectedRequests += e.RejectedRequests()
		stats.Served += e.Served()
	}
	p.Pool.addStats(&stats)
	return stats
}
