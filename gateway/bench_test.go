package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

// benchTarget is an HTTP client for one address and the request that it sends.
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
		tb.Errorf("request failed: error %v, status %d", err, response.StatusCode())
	}
}

// startBenchTargets starts an executor and a gateway. It returns one target that
// calls the executor directly and one that calls it through the gateway.
func startBenchTargets(tb testing.TB, query string) (direct, viaGateway *benchTarget) {
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
	viaGateway = newBenchTarget(listener.Addr().String(), "/v1/services/svc/x"+query)
	tb.Cleanup(func() {
		direct.client.CloseIdleConnections()
		viaGateway.client.CloseIdleConnections()
		_ = g.server.Shutdown()
		g.closeListeners()
		g.Close()
		_ = e.Close()
	})
	return direct, viaGateway
}

// BenchmarkIdleRequest compares requests through an idle gateway with direct
// requests to the executor. It reports the ratio of the best times of
// interleaved runs.
func BenchmarkIdleRequest(b *testing.B) {
	b.Run("empty", func(b *testing.B) { benchmarkIdle(b, "") })
	b.Run("1ms", func(b *testing.B) { benchmarkIdle(b, "?sleep=1ms") })
}

func benchmarkIdle(b *testing.B, query string) {
	direct, viaGateway := startBenchTargets(b, query)
	const rounds, calls = 20, 200
	b.ReportAllocs()
	bestDirect, bestViaGateway := time.Hour, time.Hour
	for range b.N {
		for range rounds {
			bestDirect = min(bestDirect, timeCalls(b, direct, calls))
			bestViaGateway = min(bestViaGateway, timeCalls(b, viaGateway, calls))
		}
	}
	b.ReportMetric(float64(bestViaGateway)/float64(bestDirect), "ratio")
	b.ReportMetric(float64(bestDirect.Nanoseconds())/calls, "direct-ns")
}

func timeCalls(b *testing.B, target *benchTarget, calls int) time.Duration {
	start := time.Now()
	for range calls {
		target.call(b)
	}
	return time.Since(start)
}

// BenchmarkThroughput measures parallel requests, directly to the executor and
// through the gateway.
func BenchmarkThroughput(b *testing.B) {
	direct, viaGateway := startBenchTargets(b, "")
	for name, target := range map[string]*benchTarget{"direct": direct, "gateway": viaGateway} {
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

// maxAllocations limits the allocations of a request through the gateway,
// including those of the client and the executor: twice the 10 allocations
// that a direct request may take, and 20 for the gateway's state of the
// request.
const maxAllocations = 40

// Guards against additional allocations per request.
func TestAllocationsPerRequestAreBounded(t *testing.T) {
	direct, viaGateway := startBenchTargets(t, "")
	direct.call(t)
	viaGateway.call(t)
	base := testing.AllocsPerRun(200, func() { direct.call(t) })
	got := testing.AllocsPerRun(200, func() { viaGateway.call(t) })
	t.Logf("allocations per request: %.0f direct, %.0f through the gateway", base, got)
	if got > maxAllocations {
		t.Errorf("%.0f allocations per request through the gateway (%.0f direct), want at most %d", got, base, maxAllocations)
	}
}
