package httpapi_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/provider/httpapi"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

func startPlatform(t *testing.T) (*standin.Platform, *httpapi.Client) {
	t.Helper()
	workers := []structs.Worker{{ID: "w-1", State: structs.Live, Capacity: structs.Resources{MilliCPU: 1000}}}
	p, err := standin.Start("127.0.0.1:0", workers, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p, httpapi.New(p.Address, time.Minute)
}

// Guards against losing the kind of an error in the HTTP protocol: a caller would
// confuse a rejected write with one whose outcome is unknown.
func TestErrorKindsArePreserved(t *testing.T) {
	p, client := startPlatform(t)
	ctx := context.Background()
	write := provider.Txn{
		Conditions: []provider.Condition{{Key: "k", Version: 0}},
		Writes:     []provider.Write{{Key: "k", Value: []byte("v")}},
	}
	if _, err := client.Get(ctx, "k"); !errs.Is(err, errs.NotFound) {
		t.Errorf("read of an absent row: error %v, want not-found", err)
	}
	p.Store.Fault = func(string) standin.Fault { return standin.Fault{LoseReply: true} }
	if _, err := client.Commit(ctx, write); !errs.Is(err, errs.OutcomeUnknown) {
		t.Errorf("commit whose reply is lost: error %v, want outcome-unknown", err)
	}
	p.Store.Fault = nil
	if _, err := client.Commit(ctx, write); !errs.Is(err, errs.Conflict) {
		t.Errorf("second commit on version 0: error %v, want conflict", err)
	}
	if row, err := client.Get(ctx, "k"); err != nil || string(row.Value) != "v" || row.Version != 1 {
		t.Errorf("row %+v, error %v, want value v and version 1", row, err)
	}
	p.Store.SetMaxBytes(1)
	if _, err := client.Commit(ctx, provider.Txn{Writes: []provider.Write{{Key: "x", Value: []byte("y")}}}); !errs.Is(err, errs.NotRun) {
		t.Errorf("write to a full store: error %v, want not-run", err)
	}
}

// Guards against reporting a failed dial as an unknown outcome.
func TestUnreachablePlatformReturnsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := httpapi.New(address, time.Minute).Get(context.Background(), "k"); !errs.Is(err, errs.NotRun) {
		t.Errorf("read from an unreachable platform: error %v, want not-run", err)
	}
}

// Guards against a cached list that stays out of date because the tag of the
// directory's list did not change.
func TestDirectoryListsReflectChanges(t *testing.T) {
	p, client := startPlatform(t)
	ctx := context.Background()
	for _, want := range []structs.Lifecycle{structs.Live, structs.Live, structs.Leaving, structs.Gone} {
		p.Directory.SetWorkerState("w-1", want)
		workers, err := client.Workers(ctx)
		if err != nil || len(workers) != 1 || workers[0].State != want {
			t.Fatalf("workers %+v, error %v, want state %s", workers, err, want)
		}
	}
}
