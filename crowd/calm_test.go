package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestSlowAndLargeBodiesInCalm guards against bounds that a single request inside the limits
// meets: a body of the largest size, one that takes longer to arrive than the caller then
// waits for the answer, and one in chunks.
func TestSlowAndLargeBodiesInCalm(t *testing.T) {
	p := startCell(t, 1, small)[0]
	job := string(ordinaryJob())
	largest := spaces(inLimit-len(job)) + job
	fixed := fmt.Sprintf("Content-Length: %d\r\n", len(largest))
	const callerWaits = time.Second
	for name, request := range map[string]struct {
		headers string
		parts   []string
		pause   time.Duration
	}{
		"largest": {fixed, []string{largest}, 0},
		"slow":    {fixed + fmt.Sprintf("Deadline-Ms: %d\r\n", callerWaits.Milliseconds()), []string{largest[:100_000], largest[100_000:200_000], largest[200_000:]}, callerWaits},
		"chunked": {"Transfer-Encoding: chunked\r\n", []string{fmt.Sprintf("%x\r\n%s\r\n", len(largest), largest), "0\r\n\r\n"}, 0},
	} {
		conn, err := net.Dial("tcp4", p.callers)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(hangTimeout))
		_, _ = io.WriteString(conn, postHead(request.headers+"Connection: close\r\n"))
		for _, part := range request.parts {
			time.Sleep(request.pause)
			_, _ = io.WriteString(conn, part)
		}
		answer, err := io.ReadAll(conn)
		if !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
			t.Errorf("%s: %.200q, %v, want 200", name, answer, err)
		}
		_ = conn.Close()
	}
	p.requireWithinLimits()
}
