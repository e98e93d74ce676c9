package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// clientTimeout is the time budget of a client's request.
const clientTimeout = 3 * time.Second

// call is a request of a client and its end.
type call struct {
	instance *instance
	method   string
	job      string
	sentAt   time.Time // when the last byte was sent; zero if it was not sent
	endedAt  time.Time
	status   int // 0: the channel ended without a complete answer, or the budget was used up
	state    string
	err      error
}

// caller keeps channels to the instances open.
type caller struct {
	cell   *cell
	client *http.Client
	mu     sync.Mutex
	calls  []*call
}

func newCaller(c *cell) *caller {
	return &caller{cell: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 30 * time.Second}}}
}

// send makes one request of a job to an instance.
func (s *caller) send(i *instance, method, queue, id string, body []byte) *call {
	c := &call{instance: i, method: method, job: id}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	var mu sync.Mutex
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		mu.Lock()
		defer mu.Unlock()
		if info.Err == nil {
			c.sentAt = time.Now()
		}
	}})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+queues[queue]+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // addresses and paths are valid
	}
	request.Host = hostName
	request.GetBody = nil // no retry by the transport
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := s.client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			c.status = response.StatusCode
			var answer struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(data, &answer) // refusals are no JSON
			c.state = answer.State
		}
	}
	mu.Lock()
	c.endedAt, c.err = time.Now(), err
	mu.Unlock()
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	s.cell.record.note("client: %s %s to %s: %d %s%s, %d ms after it was sent", method, id, i.name, c.status, c.state, errorText(err), c.sinceSent().Milliseconds())
	return c
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return "(" + err.Error() + ")"
}

// sinceSent returns the time from the last byte of the request to the end of the call.
func (c *call) sinceSent() time.Duration {
	if c.sentAt.IsZero() {
		return 0
	}
	return c.endedAt.Sub(c.sentAt)
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, with up to 4 retries at other instances, as the clients of the
// site do. It returns the job.
func (s *caller) submit(queue string, steps []step) *job {
	j := &job{id: newJobID(), Spec: "door " + queue, Steps: steps, sentAt: time.Now()}
	s.cell.jobs.add(j)
	body, err := json.Marshal(j)
	if err != nil {
		panic(err) // jobs always encode
	}
	first := rand.IntN(len(s.cell.instances))
	for attempt := range 5 {
		c := s.send(s.cell.instances[(first+attempt)%len(s.cell.instances)], http.MethodPost, queue, j.id, body)
		if c.status >= 200 && c.status < 300 {
			s.cell.jobs.setAccepted(j)
			return j
		}
		time.Sleep(time.Duration(100*(1<<attempt)) * time.Millisecond)
	}
	return j
}

// ask returns the state of a job, from the first instance that answers.
func (s *caller) ask(queue, id string) *call {
	first := rand.IntN(len(s.cell.instances))
	var c *call
	for attempt := range 3 {
		c = s.send(s.cell.instances[(first+attempt)%len(s.cell.instances)], http.MethodGet, queue, id, nil)
		if c.status == http.StatusOK || c.status == http.StatusGone {
			return c
		}
	}
	return c
}

func (s *caller) all() []*call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*call(nil), s.calls...)
}
