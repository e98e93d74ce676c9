package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/router/credits"
	"github.com/mangodrum/mangodrum/structs"
)

// localOwner is an owner's ledger that answers at once.
type localOwner struct {
	mu     sync.Mutex
	ledger *credits.Ledger
	now    func() structs.Timestamp
	to     map[structs.InstanceID]*fixture
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
		if f := o.to[grants[i].To]; f != nil {
			f.DeliverCredits(credits.Message{Grant: &grants[i]})
		}
	}
}

// Guards against work without a credit: nothing is sent before a grant, a
// request runs within one, and none starts after its end.
func TestRequestsRunOnlyUnderCredits(t *testing.T) {
	e := startFake(t, "e1", answerOK)
	e.info.Location.Region = "r"
	owner := &localOwner{to: map[structs.InstanceID]*fixture{}}
	lost := true
	f := newFixture(t, func(o *Options) {
		o.Location.Region = "r"
		o.SendCredits = func(m credits.Message) {
			if !lost {
				owner.send(m)
			}
		}
	})
	owner.now = func() structs.Timestamp { return structs.Timestamp(f.clock.Load()) }
	owner.to["i1"] = f
	end := owner.now().Add(time.Hour)
	owner.ledger = credits.New(credits.Config{Region: "r", Epoch: 1, Expiry: end, Horizon: end})
	owner.ledger.Reduce(owner.now(), &credits.ExecutorsListed{Executors: []structs.Executor{e.info}})
	f.list(e)
	without := f.async("GET", "/", "", HeaderDeadline, "1000")
	for f.Stats().Requests == 0 {
		f.Tick()
	}
	f.advance(time.Second)
	if r := await(t, "reply", without); r.status != 504 || r.outcome != "not-run" {
		t.Errorf("without a credit: %d %s, want 504 not-run", r.status, r.outcome)
	}
	lost = false
	f.advance(credits.RequestInterval)
	if r := f.send("GET", "/", ""); r.outcome != "answered" {
		t.Errorf("with a credit: %d %s, want answered", r.status, r.outcome)
	}
	lost = true
	f.advance(credits.Lease)
	after := f.async("GET", "/", "", HeaderDeadline, "1000")
	for f.Stats().Requests == 0 {
		f.Tick()
	}
	f.advance(time.Second)
	if r := await(t, "reply", after); r.outcome != "not-run" {
		t.Errorf("after the credit's end: %d %s, want not-run", r.status, r.outcome)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the executor got %d requests, want 1", n)
	}
}
