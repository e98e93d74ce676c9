package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's table store (PROTOCOL.md, "The platform's
// metadata store"). Each instance reaches it at an address of its own.
type store struct {
	rec     *recorder
	started time.Time
	txTime  time.Duration

	mu      sync.Mutex
	version uint64
	rows    map[rowID]row
	changes []row
	changed chan struct{} // closed at each change

	// lastWriter is the instance whose conditional write succeeded last.
	lastWriter int
	writtenAt  time.Time

	down   bool // for all instances
	cutOff int  // the instance that is cut off from the store; -1: none
}

// isAway reports whether the store answers an instance.
func (s *store) isAway(instance int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.cutOff == instance
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) setCutOff(instance int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff = instance
}

type rowID struct{ Table, Part, Key string }

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	VersionNo uint64 `json:"versionNo"`
	Deleted   bool   `json:"deleted,omitempty"`
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, started: time.Now(), txTime: 8 * time.Millisecond, rows: map[rowID]row{}, changed: make(chan struct{}), lastWriter: -1, cutOff: -1}
}

// put writes a row as another program than an instance.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: data})
}

// remove removes a row as another program than an instance.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.drop(rowID{table, "", key})
}

// write and drop change a row at the present version. The caller holds s.mu.
func (s *store) write(r row) {
	r.VersionNo = s.version
	s.rows[rowID{r.Table, r.Part, r.Key}] = r
	s.note(r)
}

func (s *store) drop(id rowID) {
	if _, ok := s.rows[id]; !ok {
		return
	}
	delete(s.rows, id)
	s.note(row{Table: id.Table, Part: id.Part, Key: id.Key, VersionNo: s.version, Deleted: true})
}

func (s *store) note(r row) {
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// leader returns the instance that most recently wrote under a condition, which DEPLOY.md
// calls the leader.
func (s *store) leader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// serve answers the calls of one instance. view replaces the addresses in the values that
// the instance reads, and canonical those in the values that it writes.
//
// oneWay is the latency between the instance and the store in each direction.
func (s *store) serve(l net.Listener, instance int, oneWay time.Duration, view, canonical func([]byte) []byte) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(w, r, instance, canonical) })
	mux.HandleFunc("GET /-/rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(w, r, view) })
	mux.HandleFunc("GET /-/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, view) })
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { // returns when the listener is closed
		time.Sleep(oneWay)
		if s.isAway(instance) { // nothing is done, and no answer comes
			<-r.Context().Done()
			return
		}
		answer := &delayedAnswer{header: http.Header{}, status: http.StatusServiceUnavailable}
		mux.ServeHTTP(answer, r)
		time.Sleep(oneWay + time.Duration(len(answer.body))*time.Second/linkBytesPerSecond)
		if s.isAway(instance) {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body)
	}))
}

// linkBytesPerSecond is the bandwidth of the link of a machine, 1,000 Mbit/s.
const linkBytesPerSecond = 125_000_000

// delayedAnswer keeps an answer until it is sent.
type delayedAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (a *delayedAnswer) Header() http.Header    { return a.header }
func (a *delayedAnswer) WriteHeader(status int) { a.status = status }
func (a *delayedAnswer) Write(data []byte) (int, error) {
	a.body = append(a.body, data...)
	return len(data), nil
}

type transaction struct {
	IfRev  []row `json:"ifRev"`
	Puts   []row `json:"puts"`
	Remove []row `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, instance int, canonical func([]byte) []byte) {
	body, err := io.ReadAll(r.Body)
	var tx transaction
	if err != nil || json.Unmarshal(body, &tx) != nil || len(tx.IfRev)+len(tx.Puts)+len(tx.Remove) > 100 || len(body) > 1<<20 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	var present []row
	for _, c := range tx.IfRev {
		have, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		met = met && have.VersionNo == c.VersionNo
		if ok {
			present = append(present, have)
		}
	}
	if !met {
		s.respond(w, http.StatusPreconditionFailed, present, false)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		p.Value = canonical(p.Value)
		s.write(p)
	}
	for _, d := range tx.Remove {
		s.drop(rowID{d.Table, d.Part, d.Key})
	}
	if len(tx.IfRev) > 0 {
		if s.lastWriter != instance {
			s.rec.log("instance %d writes to the store under a condition, before it was instance %d", instance, s.lastWriter)
		}
		s.lastWriter, s.writtenAt = instance, time.Now()
	}
	s.respond(w, http.StatusOK, nil, false)
}

// respond writes a response. The caller holds s.mu.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool) {
	body := map[string]any{"versionNo": s.version, "nowMs": time.Since(s.started).Milliseconds()}
	if rows == nil {
		rows = []row{}
	}
	body["rows"], body["hasMore"] = rows, more
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func viewed(rows []row, view func([]byte) []byte) []row {
	out := slices.Clone(rows)
	for n := range out {
		out[n].Value = view(out[n].Value)
	}
	return out
}

func (s *store) get(w http.ResponseWriter, r *http.Request, view func([]byte) []byte) {
	const readTime, maxRows, maxBytes = 4 * time.Millisecond, 500, 1 << 20
	time.Sleep(readTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for id, have := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("to") == "" || id.Key < q.Get("to")) {
			rows = append(rows, have)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	fit, size := 0, 0
	for fit < min(len(rows), maxRows) {
		// A value is sent in base64.
		if size += len(rows[fit].Value)*4/3 + 200; size > maxBytes && fit > 0 {
			break
		}
		fit++
	}
	more := fit < len(rows)
	rows = rows[:fit]
	s.respond(w, http.StatusOK, viewed(rows, view), more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, view func([]byte) []byte) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		var rows []row
		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.VersionNo > after {
				rows = append(rows, c)
			}
		}
		changed := s.changed
		if len(rows) > 0 || !waiting {
			s.respond(w, http.StatusOK, viewed(rows, view), false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
