package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// localOwner is an in-process owner of executors that grants requested credits
// at once.
type localOwner struct {
	mu       sync.Mutex
	ledger   *credits.Ledger
	now      func() structs.Timestamp
	fixtures map[structs.InstanceID]*fixture
}

func (o *localOwner) send(message credits.Message) {
	o.mu.Lock()
	effects := o.ledger.Reduce(o.now(), &credits.RequestReceived{Request: *message.Request})
	var grants []credits.Grant
	for _, effect := range effects {
		grants = append(grants, effect.(credits.SendGrant).Grant)
	}
	o.mu.Unlock()
	for i := range grants {
		if f := o.fixtures[grants[i].To]; f != nil {
			f.HandleCreditMessage(credits.Message{Grant: &grants[i]})
		}
	}
}

// Guards against requests that are sent without a credit. No request may start
// before the first grant or after the grant has expired.
func TestRequestsAreSentOnlyWithCredits(t *testing.T) {
	e := startFakeExecutor(t, "e1", respondOK)
	e.info.Location.Region = "r"
	owner := &localOwner{fixtures: map[structs.InstanceID]*fixture{}}
	dropRequests := true
	f := newFixture(t, func(o *Options) {
		o.Location.Region = "r"
		o.SendCreditMessage = func(m credits.Message) {
			if !dropRequests {
				owner.send(m)
			}
		}
	})
	owner.now = func() structs.Timestamp { return structs.Timestamp(f.clock.Load()) }
	owner.fixtures["i1"] = f
	end := owner.now().Add(time.Hour)
	owner.ledger = credits.New(credits.Config{Region: "r", Epoch: 1, Expiry: end, Horizon: end})
	owner.ledger.Reduce(owner.now(), &credits.ExecutorsListed{Executors: []structs.Executor{e.info}})
	f.useExecutors(e)
	without := f.async("GET", "/", "", HeaderDeadline, "1000")
	for f.Stats().Requests == 0 {
		f.Tick()
	}
	f.advance(time.Second)
	if r := await(t, "reply", without); r.status != 504 || r.outcome != "not-run" {
		t.Errorf("without a credit: %d %s, want 504 not-run", r.status, r.outcome)
	}
	dropRequests = false
	f.advance(credits.RequestInterval)
	if r := f.send("GET", "/", ""); r.outcome != "answered" {
		t.Errorf("with a credit: %d %s, want answered", r.status, r.outcome)
	}
	dropRequests = true
	f.advance(credits.Lease)
	after := f.async("GET", "/", "", HeaderDeadline, "1000")
	for f.Stats().Requests == 0 {
		f.Tick()
	}
	f.advance(time.Second)
	if r := await(t, "reply", after); r.outcome != "not-run" {
		t.Errorf("after the credit expired: %d %s, want not-run", r.status, r.outcome)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the executor got %d requests, want 1", n)
	}
}
