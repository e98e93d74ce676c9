package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/platform/platformtest"
)

// small are limits at which a small crowd shows a missing bound. The descriptors suffice
// for the crowd, so that memory alone decides.
var small = limits{memoryMB: 96, descriptors: 2048}

const (
	overLimit = 1_000_000 // bytes; the configuration allows 262,144
	inLimit   = 262_144
)

// spaces returns JSON white space, which a job may begin with.
func spaces(n int) string { return strings.Repeat(" ", n) }

// TestBodiesOverTheLimitAnnounced guards against bodies over the limit of the configuration
// that are received, or have memory set aside, although their announced length shows that
// they will be refused.
func TestBodiesOverTheLimitAnnounced(t *testing.T) {
	p := startCell(t, 1, small)[0]
	head := postHead(fmt.Sprintf("Content-Length: %d\r\n", overLimit))
	body := spaces(overLimit - 1)
	release := hold(t, p.callers, 300, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, head+body) })
	p.requireAnswer("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
	p.requireReady("after the crowd")
}

// TestBodiesOverTheLimitChunked guards against bodies of unknown length that are received
// beyond the limit of the configuration.
func TestBodiesOverTheLimitChunked(t *testing.T) {
	p := startCell(t, 1, small)[0]
	head := postHead("Transfer-Encoding: chunked\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", overLimit/20, spaces(overLimit/20))
	release := hold(t, p.callers, 300, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, head)
		for range 19 {
			_, _ = io.WriteString(conn, chunk)
		}
	})
	p.requireAnswer("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
}

// TestUnfinishedBodies guards against bodies inside the limit that together take more memory
// than the instance has, because their last byte never comes.
func TestUnfinishedBodies(t *testing.T) {
	p := startCell(t, 1, small)[0]
	head := postHead(fmt.Sprintf("Content-Length: %d\r\n", inLimit))
	body := spaces(inLimit - 1)
	release := hold(t, p.callers, 600, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, head+body) })
	p.requireAnswer("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
}

// manySteps returns a body of the largest allowed size with as many steps as fit into it.
func manySteps() string {
	const before, step, after = `{"spec":"","steps":[`, `{},`, `{}]}`
	return before + strings.Repeat(step, (inLimit-len(before)-len(after))/len(step)) + after
}

// TestManySteps guards against a body inside the limit that takes a hundred times its size
// once it is decoded.
func TestManySteps(t *testing.T) {
	p := startCell(t, 1, small)[0]
	body := []byte(manySteps())
	sendAtOnce(p, 24, 3, func() []byte { return body }, func(status int) bool { return status == http.StatusOK })
	p.requireAnswer("after the crowd")
	p.requireWithinLimits()
}

// sendAtOnce submits jobs from several clients at once, each the given number of times, and
// fails the test if an answer is not allowed.
func sendAtOnce(p *process, clients, times int, body func() []byte, forbidden func(status int) bool) {
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for range times {
				if status := p.submit(jobID(), body()); forbidden != nil && forbidden(status) {
					p.t.Errorf("a job is answered with status %d", status)
				}
			}
		})
	}
	group.Wait()
}

// TestLongNumbers guards against an error text that repeats what the client has sent.
func TestLongNumbers(t *testing.T) {
	p := startCell(t, 1, small)[0]
	body := `{"spec":"","steps":[{"count":` + strings.Repeat("9", inLimit-100) + `}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers+jobPath(jobID()), strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = platformtest.Host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	const maxAnswer = 2048 // bytes, of a text that people read
	if err != nil || len(answer) > maxAnswer {
		t.Errorf("the answer to a malformed body has %d bytes (error %v), want at most %d", len(answer), err, maxAnswer)
	}
	p.requireAnswer("after the malformed body")
}

// TestUnfinishedHeads guards against connections whose requests never get beyond a part of
// their head.
func TestUnfinishedHeads(t *testing.T) {
	p := startCell(t, 1, limits{memoryMB: 64, descriptors: 4096})[0]
	head := strings.TrimSuffix(postHead("X-Padding: "+strings.Repeat("x", 15_000)+"\r\n"), "\r\n")
	release := hold(t, p.callers, 2400, func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, head) })
	p.requireAnswer("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
}

// TestMoreConnectionsThanDescriptors guards against a listener that ends for good, while
// the instance stays ready, when there is no descriptor for a connection.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	p := startCell(t, 1, limits{memoryMB: 284, descriptors: 256})[0]
	release := hold(t, p.callers, 400, func(net.Conn, int) {})
	p.requireAnswer("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
	p.requireReady("after the crowd")
}

// TestUnreadAnswers guards against requests that never end because their answers are not
// read: each would keep a goroutine and a descriptor for ever.
func TestUnreadAnswers(t *testing.T) {
	p := startCell(t, 1, limits{memoryMB: 284, descriptors: 256})[0]
	request := "GET /none HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n\r\n"
	pipeline := strings.Repeat(request, 20_000)
	release := hold(t, p.callers, 240, func(conn net.Conn, _ int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second)) // the requests do not fit into the buffers
		_, _ = io.WriteString(conn, pipeline)
	})
	p.requireAnswer("during the crowd")
	p.requireWithinLimits()
	release()
	p.requireAnswer("after the crowd")
}

// TestForwardedJobs guards against jobs that instances pass on and that together take more
// memory than the leader has, in its inbox, its goroutines or its connections.
func TestForwardedJobs(t *testing.T) {
	cell := startCell(t, 3, small)
	body := []byte(`{"spec":"` + strings.Repeat("s", 40_000) + `","steps":[{"count":1,"cpu":100,"memMb":16,"estimateMs":100}]}`)
	var group sync.WaitGroup
	for _, p := range cell {
		group.Go(func() { sendAtOnce(p, 200, 10, func() []byte { return body }, nil) })
	}
	group.Wait()
	for _, p := range cell {
		p.requireAnswer("after the crowd")
		p.requireWithinLimits()
	}
}
