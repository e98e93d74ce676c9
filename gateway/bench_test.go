package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

// benchTarget is an address and the request that is sent there.
type benchTarget struct {
	client  *fasthttp.HostClient
	request *fasthttp.Request
}

func newBenchTarget(address, path string) *benchTarget {
	request := &fasthttp.Request{}
	request.SetRequestURI("http://" + address + path)
	request.Header.Set(HeaderRequestID, "bench")
	request.Header.Set(HeaderTeam, "/bench")
	return &benchTarget{&fasthttp.HostClient{Addr: address, MaxConns: 64}, request}
}

func (b *benchTarget) call(tb testing.TB) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	b.request.CopyTo(request)
	if err := b.client.Do(request, response); err != nil || response.StatusCode() != 200 {
		tb.Errorf("call: %v, status %d", err, response.StatusCode())
	}
}

// startPair returns a direct call to an executor and the same call through a
// gateway.
func startPair(tb testing.TB, query string) (direct, through *benchTarget) {
	tb.Helper()
	e, err := standin.StartExecutor(structs.Executor{ID: "e1", Service: "svc", Slots: 64, Connections: 128, State: structs.Live})
	if err != nil {
		tb.Fatal(err)
	}
	g := New(Options{Instance: "i1", Table: standin.NewStore(), Seed: 1})
	g.SetExecutors([]structs.Executor{e.Info})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = g.Serve(listener) }()
	direct = newBenchTarget(e.Info.Address, "/x"+query)
	through = newBenchTarget(listener.Addr().String(), "/v1/services/svc/x"+query)
	tb.Cleanup(func() {
		direct.client.CloseIdleConnections()
		through.client.CloseIdleConnections()
		_ = g.server.Shutdown()
		g.closeListeners()
		g.Close()
		_ = e.Close()
	})
	return direct, through
}

// BenchmarkIdleRequest compares a request through an idle gateway with a
// direct call to the executor: the best of interleaved runs of each.
func BenchmarkIdleRequest(b *testing.B) {
	b.Run("empty", func(b *testing.B) { benchmarkIdle(b, "") })
	b.Run("1ms", func(b *testing.B) { benchmarkIdle(b, "?sleep=1ms") })
}

func benchmarkIdle(b *testing.B, query string) {
	direct, through := startPair(b, query)
	const rounds, calls = 20, 200
	b.ReportAllocs()
	bestDirect, bestThrough := time.Hour, time.Hour
	for range b.N {
		for range rounds {
			bestDirect = min(bestDirect, timeCalls(b, direct, calls))
			bestThrough = min(bestThrough, timeCalls(b, through, calls))
		}
	}
	b.ReportMetric(float64(bestThrough)/float64(bestDirect), "ratio")
	b.ReportMetric(float64(bestDirect.Nanoseconds())/calls, "direct-ns")
}

func timeCalls(b *testing.B, target *benchTarget, calls int) time.Duration {
	start := time.Now()
	for range calls {
		target.call(b)
	}
	return time.Since(start)
}

// BenchmarkThroughput runs callers in parallel, directly and through the
// gateway.
func BenchmarkThroughput(b *testing.B) {
	direct, through := startPair(b, "")
	for name, target := range map[string]*benchTarget{"direct": direct, "gateway": through} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					target.call(b)
				}
			})
		})
	}
}

// maxAllocations bounds the allocations of a request through the gateway,
// those of client and executor included: twice what a direct call may take
// (10) and 20 for the gateway's own state of a request.
const maxAllocations = 40

// Guards against a request path whose allocations grow.
func TestAllocationsOfARequestAreBounded(t *testing.T) {
	direct, through := startPair(t, "")
	direct.call(t)
	through.call(t)
	base := testing.AllocsPerRun(200, func() { direct.call(t) })
	got := testing.AllocsPerRun(200, func() { through.call(t) })
	t.Logf("allocations: direct %.0f, through the gateway %.0f", base, got)
	if got > maxAllocations {
		t.Errorf("%.0f allocations through the gateway, direct %.0f, want at most %d", got, base, maxAllocations)
	}
}
