package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, from PROTOCOL.md and the settings example of DEPLOY.md.
const (
	storeReadTime  = 4 * time.Millisecond
	storeTxTime    = 8 * time.Millisecond
	maxTxEntries   = 100
	maxTxBytes     = 1 << 20
	maxRowBytes    = 65536
	maxPageRows    = 500
	maxPageBytes   = 1 << 20
	historyTime    = 20 * time.Second
	maxFeedWait    = 30 * time.Second
	operatorTable  = "op"
	directoryTable = "servers"
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"versionNo"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

type change struct {
	row row
	at  time.Time
}

// store is a stand-in of the platform's table store. It applies one transaction
// at a time and loses nothing.
type store struct {
	txMu       sync.Mutex
	mu         sync.Mutex
	rows       map[rowID]row
	changes    []change
	forgotten  uint64 // newest version that the history no longer has
	version    uint64
	clockStart time.Time
	changed    chan struct{}
	lastWriter string // caller of the last conditional transaction that succeeded
	rejected   int    // transactions over a limit
	largestRow int
	down       bool // the store refuses all calls
	rec        *recorder
}

func newStore(rec *recorder) *store {
	return &store{rows: map[rowID]row{}, clockStart: time.Now().Add(-time.Hour), changed: make(chan struct{}), rec: rec}
}

// snapshot is the content of the store in a file.
type snapshot struct {
	Rows      []row  `json:"rows"`
	VersionNo uint64 `json:"versionNo"`
	NowMs     int64  `json:"nowMs"`
}

func (s *store) save(path string, skip ...string) error {
	s.mu.Lock()
	saved := snapshot{VersionNo: s.version, NowMs: s.nowMs()}
	for _, r := range s.rows {
		if !slices.Contains(skip, r.Table) {
			saved.Rows = append(saved.Rows, r)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(saved.Rows, func(a, b row) int {
		return strings.Compare(a.Table+"\x00"+a.Key, b.Table+"\x00"+b.Key)
	})
	data, err := json.MarshalIndent(saved, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// load replaces the content by that of a file; the store's clock goes on from the
// time of the file.
func (s *store) load(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var saved snapshot
	if err := json.Unmarshal(data, &saved); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.forgotten = saved.VersionNo, saved.VersionNo
	s.clockStart = time.Now().Add(-time.Duration(saved.NowMs) * time.Millisecond)
	for _, r := range saved.Rows {
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
	}
	return nil
}

func (s *store) nowMs() int64 { return time.Since(s.clockStart).Milliseconds() }

// apply changes a row. The caller holds s.mu and has raised the version.
func (s *store) apply(r row) {
	r.Version = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Deleted {
		r.Value = ""
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	now := time.Now()
	s.changes = append(s.changes, change{r, now})
	for len(s.changes) > 0 && now.Sub(s.changes[0].at) > historyTime {
		s.forgotten = s.changes[0].row.Version
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator and the executors do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types in use always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.rows[rowID{table, "", key}]; !found {
		return
	}
	s.version++
	s.apply(row{Table: table, Key: key, Deleted: true})
}

func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id := range s.rows {
		if id.table == table {
			n++
		}
	}
	return n
}

func (s *store) writer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// handler returns the store's interface for one caller.
func (s *store) handler(caller string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.tx(caller, w, r) })
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/advise", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown begins or ends an outage of the whole store, which answers 503 meanwhile.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed) // feeds that wait go on
	s.changed = make(chan struct{})
	s.rec.note("trouble", "the store is down: %t", down)
}

type rowsResponse struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"versionNo"`
	NowMs   int64  `json:"nowMs"`
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	s.mu.Lock()
	response := rowsResponse{rows, more, s.version, s.nowMs()}
	s.mu.Unlock()
	writeJSON(w, status, response)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the types in use always encode
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

type transaction struct {
	IfRev []struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Version uint64 `json:"versionNo"`
	} `json:"ifRev"`
	Puts   []row `json:"puts"`
	Remove []row `json:"remove"`
}

func (s *store) tx(caller string, w http.ResponseWriter, r *http.Request) {
	var tx transaction
	body := http.MaxBytesReader(w, r.Body, maxTxBytes)
	if err := json.NewDecoder(body).Decode(&tx); err != nil || len(tx.IfRev)+len(tx.Puts)+len(tx.Remove) > maxTxEntries {
		s.reject(caller, "the transaction is over a limit", 0)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range tx.Puts {
		data, err := base64.StdEncoding.DecodeString(p.Value)
		if p.Table == operatorTable || p.Table == directoryTable {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if err != nil || len(data) > maxRowBytes {
			s.reject(caller, "row "+p.Table+"/"+p.Key+" is too large", len(data))
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.largestRow = max(s.largestRow, len(data))
		s.mu.Unlock()
	}
	s.txMu.Lock() // a part handles one transaction after another
	defer s.txMu.Unlock()
	time.Sleep(storeTxTime)
	s.mu.Lock()
	var current []row
	failed := false
	for _, c := range tx.IfRev {
		found, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, found)
		}
		failed = failed || found.Version != c.Version
	}
	if failed {
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		s.apply(p)
	}
	for _, p := range tx.Remove {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true})
	}
	if len(tx.IfRev) > 0 {
		s.lastWriter = caller
	}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) reject(caller, reason string, bytes int) {
	s.mu.Lock()
	s.rejected++
	n := s.rejected
	s.mu.Unlock()
	if n <= 20 || n%200 == 0 {
		s.rec.note("store", "400 to %s: %s (%d bytes, refusal %d)", caller, reason, bytes, n)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []row
	for id, found := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, found)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	bytes, kept := 0, 0
	for kept < len(rows) && kept < limit {
		if bytes += len(rows[kept].Value); bytes > maxPageBytes && kept > 0 {
			break
		}
		kept++
	}
	s.answer(w, http.StatusOK, rows[:kept], kept < len(rows))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	time.Sleep(storeReadTime)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, c := range s.changes {
			if c.row.Table == q.Get("table") && c.row.Version > after {
				rows = append(rows, c.row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, nil, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}
