package crowd

import (
	"net/http"
	"testing"

	"github.com/mangodrum/mangodrum/platform/platformtest"
)

// manyTasks is a valid job with as many tasks as one job may have.
const manyTasks = `{"spec":"s","steps":[{"count":10000,"cpu":100,"memMb":16,"estimateMs":100},{"count":10000,"cpu":100,"memMb":16,"estimateMs":100,"after":[0]}]}`

// TestManyTasks guards against valid jobs, each inside the limits, whose tasks together take
// more memory than the leader has.
func TestManyTasks(t *testing.T) {
	p := startCell(t, 1, small)[0]
	sendAtOnce(p, 4, 15, func() []byte { return []byte(manyTasks) }, nil)
	p.requireAnswer("after the crowd")
	p.requireWithinLimits()
	p.requireReady("after the crowd")
}

// TestManyOccurrences guards against scheduled jobs that are small when they are accepted,
// and whose occurrences together take more memory than the leader has.
func TestManyOccurrences(t *testing.T) {
	p := startCell(t, 1, small)[0]
	body := []byte(`{"spec":"s","steps":[{"count":100,"cpu":100,"memMb":16,"estimateMs":100}],"times":1000000,"intervalMs":1}`)
	sendAtOnce(p, 4, 10, func() []byte { return body }, nil)
	p.waitForTicks()
	p.requireAnswer("after the crowd")
	p.requireWithinLimits()
	p.requireReady("after the crowd")
}

// TestCancelledJobs guards against jobs that have ended, which the leader keeps for a while,
// and that together take more memory than it has.
func TestCancelledJobs(t *testing.T) {
	p := startCell(t, 1, small)[0]
	for range 60 {
		id := jobID()
		if p.submit(id, []byte(manyTasks)) != http.StatusOK {
			continue
		}
		request, err := http.NewRequest(http.MethodDelete, "http://"+p.callers+jobPath(id), nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = platformtest.Host
		p.do(request)
	}
	p.requireWithinLimits()
	p.requireAnswer("after the crowd")
}

// TestManySmallJobs guards against jobs so small that their number is what takes the memory.
func TestManySmallJobs(t *testing.T) {
	p := startCell(t, 1, limits{memoryMB: 64, descriptors: 2048})[0]
	sendAtOnce(p, 64, 300, ordinaryLongJob, nil)
	p.requireAlive("after the crowd")
	p.requireWithinLimits()
	p.requireReady("after the crowd")
}

// ordinaryLongJob is the body of a job with the longest specification of the users' pages,
// which no worker is large enough for.
func ordinaryLongJob() []byte {
	return []byte(`{"spec":"` + spaces(4000) + `","steps":[{"count":1,"cpu":1000000,"memMb":16,"estimateMs":100}]}`)
}
