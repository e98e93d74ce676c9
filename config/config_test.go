package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/structs"
)

const validInstance = `apiVersion: mangodrum/v1
kind: Instance
id: i-1
region: r
failure_domain: r-a
listen:
  callers: 127.0.0.1:7070
  operators: 127.0.0.1:7071
  peers: 127.0.0.1:7072
platform: 127.0.0.1:7069
secrets: {peers: p1}
`

const validJob = `apiVersion: mangodrum/v1
kind: Job
id: j-1
type: service
team: /b
count: 3
resources: {cpu: 0.5, memory: 2GiB, accelerators: 1}
constraints: {regions: [r], labels: {disk: ssd}}
min_available: 2
`

const validRequest = `apiVersion: mangodrum/v1
kind: Request
service: dispatch
team: /b
headers: {X-A: b}
`

const validCell = `apiVersion: mangodrum/v1
kind: Cell
name: c
rack_size: 2
latency: {between_failure_domains: 500us, between_regions: 30ms, to_clients: 1ms}
executors: {service: s, slots: 8, connections: 64}
regions:
  - name: r
    failure_domains:
      - {name: r-a, executors: 2, workers: [{count: 3, cores: 4, memory: 8GiB}]}
      - {name: r-b}
`

// Guards against invalid fields that are not reported, or are reported at the
// wrong line or without a remedy.
func TestInvalidFieldsAreReported(t *testing.T) {
	cases := []struct{ file, old, new, want string }{
		{validInstance, "127.0.0.1:7070", "localhost:7070", "f:7: listen.callers: \"localhost:7070\" is not IP:port"},
		{validInstance, "127.0.0.1:7072", "127.0.0.1:7070", "f:9: listen.peers: address 127.0.0.1:7070 is already used"},
		{validInstance, "platform: 127.0.0.1:7069\n", "", "platform: is missing"},
		{validInstance, "{peers: p1}", "{peers: p1, peers_file: x}", "secrets.peers_file: the secret is given twice"},
		{validInstance, "id: i-1", "id: I/1", "f:3: id: \"I/1\" does not match"},
		{validInstance, "id: i-1", "id: i-1\nlog: {level: loud}", "f:4: log.level: \"loud\" is not one of"},
		{validInstance, "id: i-1", "id: i-1\nlimits: {max_body: 8}", "f:4: limits.max_body: \"8\" is not a whole number with one of the units"},
		{validJob, "id: j-1", "id: j/1", "f:3: id: \"j/1\" does not match"},
		{validJob, "type: service", "type: cron", "f:4: type: \"cron\" is not one of"},
		{validJob, "type: service", "type: batch", "f:9: min_available: does not apply to type batch"},
		{validJob, "min_available: 2", "min_available: 4", "f:9: min_available: 4 is more than the count 3"},
		{validJob, "memory: 2GiB", "memory: 2G", "f:7: resources.memory: \"2G\" is not a whole number"},
		{validJob, "cpu: 0.5, ", "", "resources.cpu: is missing"},
		{validJob, "count: 3", "count: 0", "f:6: count: \"0\" is below the minimum 1"},
		{validJob, "min_available: 2", "run_time: 5m", "f:9: run_time: does not apply to type service"},
		{validJob, "count: 3", "window: {not_before: \"2027-01-02T00:00:00Z\", deadline: \"2027-01-01T00:00:00Z\"}\ncount: 3", "f:6: window.deadline: is not after"},
		{validJob, "min_available: 2", "min_available: 2\n---\n" + validJob, "f:13: id: \"j-1\" appears twice in the file"},
		{validRequest, "X-A", "Mangodrum-Team", "f:5: headers.Mangodrum-Team: is reserved"},
		{validRequest, "team: /b", "team: /b\npath: x y", "f:5: path: \"x y\" is not a valid path"},
		{validRequest, "team: /b", "team: b", "f:4: team: \"b\" does not match"},
		{validRequest, "team: /b\n", "", "team: is missing"},
		{validCell, "name: r-b", "name: r-a", "f:11: regions[0].failure_domains[1].name: \"r-a\" appears twice"},
		{validCell, "cores: 4", "cores: four", "f:10: regions[0].failure_domains[0].workers[0].cores"},
		{validCell, "kind: Cell", "kind: Sell", "f:2: kind: \"Sell\" is not one of"},
		{validCell, "mangodrum/v1", "mangodrum/v2", "f:1: apiVersion: \"mangodrum/v2\" is not one of"},
	}
	for _, c := range cases {
		text := strings.Replace(c.file, c.old, c.new, 1)
		if text == c.file {
			t.Fatalf("%q does not occur in the file", c.old)
		}
		_, err := Check("f", []byte(text))
		if !errs.Is(err, errs.InvalidInput) || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "remedy: ") {
			t.Errorf("%q: got %v, want %q", c.new, err, c.want)
		}
	}
	for _, file := range []string{validInstance, validJob, validRequest, validCell} {
		if _, err := Check("f", []byte(file)); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a decoder that accepts a file of another kind.
func TestDecodersRejectOtherKinds(t *testing.T) {
	decoders := map[string]func([]byte) error{
		KindInstance: func(d []byte) error { _, err := DecodeInstance("f", d); return err },
		KindJob:      func(d []byte) error { _, err := DecodeJobs("f", d); return err },
		KindRequest:  func(d []byte) error { _, err := DecodeRequest("f", d); return err },
		KindCell:     func(d []byte) error { _, err := DecodeCell("f", d); return err },
	}
	files := map[string]string{KindInstance: validInstance, KindJob: validJob, KindRequest: validRequest, KindCell: validCell}
	for kind, decode := range decoders {
		for other, file := range files {
			if err := decode([]byte(file)); (err == nil) != (kind == other) {
				t.Errorf("decoder of kind %s, file of kind %s: got error %v", kind, other, err)
			}
		}
	}
}

// Guards against fields of a job file that do not reach the decoded job.
func TestDecodeJobs(t *testing.T) {
	jobs, err := DecodeJobs("f", []byte(validJob+"---\n"+strings.Replace(validJob, "j-1", "j-2", 1)))
	if err != nil || len(jobs) != 2 {
		t.Fatalf("got %d jobs, want 2; error %v", len(jobs), err)
	}
	job := jobs[0]
	want := structs.Resources{MilliCPU: 500, MemoryBytes: 2 << 30, Accelerators: 1}
	if job.Resources != want || job.Count != 3 || job.MinAvailable != 2 || job.Kind != structs.KindService ||
		job.Constraint.Labels["disk"] != "ssd" || job.Constraint.Regions[0] != "r" {
		t.Errorf("got job %+v", job)
	}
}

// Guards against workers or executors that share an identifier, and against
// workers in the wrong rack.
func TestCellMachines(t *testing.T) {
	cell, err := DecodeCell("f", []byte(validCell))
	if err != nil {
		t.Fatal(err)
	}
	workers, executors := cell.WorkersAndExecutors()
	if len(workers) != 3 || workers[1].Location.Rack != "r-a-r1" || workers[2].Location.Rack != "r-a-r2" || workers[2].ID != "r-a-w03" {
		t.Errorf("got workers %+v", workers)
	}
	if len(executors) != 2 || executors[0].ID == executors[1].ID || executors[0].Slots != 8 || executors[0].Connections != 64 {
		t.Errorf("got executors %+v", executors)
	}
}

// Guards against defaults that are not filled in, and against secret files that
// are not read or whose absence is not reported.
func TestLoadInstance(t *testing.T) {
	dir := t.TempDir()
	secret, file := filepath.Join(dir, "secret"), filepath.Join(dir, "instance.yaml")
	text := strings.Replace(validInstance, "peers: p1", "peers_file: "+secret+", operators: o", 1)
	for name, content := range map[string]string{secret: " s3cret\n", file: text} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	instance, err := LoadInstance(file)
	if err != nil {
		t.Fatal(err)
	}
	if instance.Secrets.Peers != "s3cret" || instance.Secrets.Operators != "o" {
		t.Errorf("got secrets %+v", instance.Secrets)
	}
	if instance.Log.Level != "info" || instance.Limits.MaxBody != 8<<20 || time.Duration(instance.Limits.IdleTimeout) != time.Minute {
		t.Errorf("got defaults %+v %+v", instance.Log, instance.Limits)
	}
	if info := instance.Info(); info.PeerAddress != "127.0.0.1:7072" || info.Location.FailureDomain != "r-a" {
		t.Errorf("got info %+v", info)
	}
	if err := os.Remove(secret); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadInstance(file); !errs.Is(err, errs.InvalidInput) {
		t.Errorf("missing secret file: got error %v, want invalid-input", err)
	}
}

// Guards against input that makes a decoder panic or return an error without a
// kind.
func FuzzCheck(f *testing.F) {
	for _, file := range []string{validInstance, validJob, validRequest, validCell} {
		f.Add([]byte(file))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Check("f", data); err != nil && !errs.Is(err, errs.InvalidInput) {
			t.Fatalf("error is not of kind invalid-input: %v", err)
		}
	})
}
