package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/operatorapi"
	"github.com/mangodrum/mangodrum/provider/standin"
	"github.com/mangodrum/mangodrum/structs"
)

// argsEnv is an environment variable that makes the test binary run as
// mangodrumd with the arguments in it.
const argsEnv = "MANGODRUMD_TEST_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(argsEnv); args != "" {
		os.Exit(Main(append([]string{"mangodrumd"}, strings.Fields(args)...), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a mangodrumd process. code is valid once ended is closed.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	code    int
	stderr  *bytes.Buffer
}

// startProcess starts mangodrumd with the arguments and returns the process and
// its standard output.
func startProcess(t *testing.T, args string) (*process, *bufio.Reader) {
	t.Helper()
	p := newProcess(args)
	out, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.start(t)
	return p, bufio.NewReader(out)
}

// startProcessTo starts mangodrumd with the arguments and the given standard output.
func startProcessTo(t *testing.T, args string, out *os.File) *process {
	t.Helper()
	p := newProcess(args)
	p.command.Stdout = out
	p.start(t)
	return p
}

func newProcess(args string) *process {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), argsEnv+"="+args)
	p := &process{command: command, ended: make(chan struct{}), stderr: &bytes.Buffer{}}
	command.Stderr = p.stderr
	return p
}

// start starts the process. The end of the test kills it.
func (p *process) start(t *testing.T) {
	t.Helper()
	command := p.command
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = command.Wait()
		p.code = command.ProcessState.ExitCode()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-p.ended
	})
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		select {
		case <-p.ended: // its standard error tells why it exited
			t.Fatalf("signal %v: %v; exit code %d, standard error:\n%s", s, err, p.code, p.stderr)
		default:
			t.Fatalf("signal %v: %v", s, err)
		}
	}
}

// processCell is a cell of four processes: the stand-in and three instances.
type processCell struct {
	t         *testing.T
	http      *fasthttp.Client // not shared: connections to earlier cells on the same ports are dead
	platform  string
	instances []*process
	configs   []string
	callers   []string
	operators []string
}

func startProcesses(t *testing.T) *processCell {
	t.Helper()
	_, out := startProcess(t, "standin --example bureau --listen 127.0.0.1:0")
	line, err := out.ReadString('\n')
	if err != nil {
		t.Fatalf("stand-in: %v", err)
	}
	c := &processCell{t: t, http: &fasthttp.Client{}, platform: field(line, "platform=")}
	regions := []string{"ishikari", "kamikawa", "oshima"}
	for n, region := range regions {
		base := freePortBase(t)
		c.callers = append(c.callers, fmt.Sprintf("127.0.0.1:%d", base))
		c.operators = append(c.operators, fmt.Sprintf("127.0.0.1:%d", base+1))
		c.configs = append(c.configs, c.writeConfig(n, region, base))
		c.instances = append(c.instances, nil)
		c.start(n)
	}
	c.waitServing(0, 1, 2)
	return c
}

func (c *processCell) writeConfig(n int, region string, base int) string {
	text := fmt.Sprintf(`apiVersion: mangodrum/v1
kind: Instance
id: bureau-%d
region: %s
failure_domain: %s-a
listen: {callers: "127.0.0.1:%d", operators: "127.0.0.1:%d", peers: "127.0.0.1:%d"}
platform: "%s"
secrets: {peers: test-secret}
log: {level: info}
`, n+1, region, region, base, base+1, base+2, c.platform)
	file := filepath.Join(c.t.TempDir(), "instance.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

// start starts instance n and waits until it answers operators.
func (c *processCell) start(n int) {
	c.t.Helper()
	c.instances[n], _ = startProcess(c.t, "run --config "+c.configs[n])
	eventually(c.t, "instance listens", func() error {
		_, err := c.client(n).Version(context.Background())
		return err
	})
}

func (c *processCell) client(n int) *operatorapi.Client {
	return operatorapi.NewClient(c.operators[n], "")
}

// waitServing waits until each of the instances can list the queues, for which
// all shards need an owner.
func (c *processCell) waitServing(numbers ...int) {
	c.t.Helper()
	for _, n := range numbers {
		eventually(c.t, "all shards have owners", func() error {
			queues, err := c.client(n).Queues(context.Background())
			if err == nil && len(queues.Queues) == 0 {
				return errs.New(errs.NotRun, "", "no queues")
			}
			return err
		})
	}
}

// owners returns the owner of each shard, as seen by instance n.
func (c *processCell) owners(n int) map[structs.ShardID]structs.InstanceInfo {
	list, err := c.client(n).Instances(context.Background())
	if err != nil {
		return nil
	}
	owners := map[structs.ShardID]structs.InstanceInfo{}
	for _, instance := range list.Instances {
		for _, shard := range instance.Shards {
			owners[shard] = instance.Info
		}
	}
	return owners
}

// control calls an operation of the stand-in and returns the response body.
func (c *processCell) control(op string, body any) []byte {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + c.platform + "/" + op)
	request.Header.SetMethod("POST")
	request.SetBody(data)
	if err := c.http.Do(request, response); err != nil || response.StatusCode() != 200 {
		c.t.Fatalf("%s: %v, %s", op, err, response.Body())
	}
	return response.Body()
}

// checkSafety fails if a worker or executor got more than it has room for, or a
// task ran on two workers at once.
func (c *processCell) checkSafety() {
	c.t.Helper()
	var stats standin.Stats
	if err := json.Unmarshal(c.control(standin.OpStats, struct{}{}), &stats); err != nil {
		c.t.Fatal(err)
	}
	if stats.OversizedStarts != 0 || stats.RejectedRequests != 0 || stats.DoubleRuns != 0 {
		c.t.Errorf("guarantees violated: %+v", stats)
	}
}

// submit submits a batch job of count tasks at instance n. run is the run time
// of each task.
func (c *processCell) submit(n int, id structs.JobID, region structs.Region, count int, run string) error {
	_, err := c.client(n).SubmitJob(context.Background(), structs.Job{
		ID: id, Team: "/bureau/dispatch", Class: "urgent", Kind: structs.KindBatch, Count: count,
		Resources: structs.Resources{MilliCPU: 500, MemoryBytes: 1 << 28}, PreferRegion: region,
		Command: []string{"sleep", run},
	})
	return err
}

// waitSucceeded waits until instance n shows count succeeded tasks of the job.
func (c *processCell) waitSucceeded(n int, id structs.JobID, count int) {
	c.t.Helper()
	eventually(c.t, "job "+string(id)+" ends", func() error {
		detail, err := c.client(n).Job(context.Background(), id)
		if err == nil && detail.Tasks.Succeeded != count {
			return errs.New(errs.NotRun, "", "tasks: %+v", detail.Tasks)
		}
		return err
	})
}

// request sends one request to instance n and returns the status, outcome and
// body of the response, or status 0 and the error in place of the outcome.
func (c *processCell) request(n int, method, id, query string) (int, string, string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + c.callers[n] + "/v1/services/dispatch/orders" + query)
	request.Header.SetMethod(method)
	request.Header.Set("Mangodrum-Request-Id", id)
	request.Header.Set("Mangodrum-Team", "/bureau/dispatch")
	request.Header.Set("Mangodrum-Class", "urgent")
	request.SetBodyString("door")
	if err := c.http.Do(request, response); err != nil {
		return 0, err.Error(), ""
	}
	return response.StatusCode(), string(response.Header.Peek("Mangodrum-Outcome")), string(response.Body())
}
