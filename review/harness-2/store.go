package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store, as in the users' pages.
const (
	storeReadTime  = 4 * time.Millisecond
	storeTxTime    = 8 * time.Millisecond
	storeRowBytes  = 65536
	storeCallBytes = 1 << 20
	storeEntries   = 100
	storeNameBytes = 200
	storePageRows  = 500
	storeRetention = 20 * time.Second
)

type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowID
	Value     []byte `json:"value"`
	VersionNo uint64 `json:"versionNo"`
	Deleted   bool   `json:"deleted,omitempty"`
	changedAt time.Time
}

type rowCondition struct {
	rowID
	VersionNo uint64 `json:"versionNo"`
}

type rowPut struct {
	rowID
	Value []byte `json:"value"`
}

type transaction struct {
	IfRev  []rowCondition `json:"ifRev"`
	Puts   []rowPut       `json:"puts"`
	Remove []rowID        `json:"remove"`
}

type rowsResponse struct {
	Rows      []row  `json:"rows"`
	HasMore   bool   `json:"hasMore"`
	VersionNo uint64 `json:"versionNo"`
	NowMs     int64  `json:"nowMs"`
}

// store is a stand-in of the platform's table store.
type store struct {
	record   *record
	listener net.Listener
	server   *http.Server
	started  time.Time
	txMu     sync.Mutex // transactions are carried out one after the other

	mu          sync.Mutex
	rows        map[rowID]row
	changes     []row // in the order of their versions
	dropped     uint64
	version     uint64
	changed     chan struct{} // closed by the next change
	writer      string        // local address of the connection of the last conditional write
	rejected    int
	mostEntries int
	down        bool // answers 503; nothing is done
}

func startStore(r *record) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{record: r, listener: listener, started: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/rows-tx":
		s.serveTx(w, r)
	case "/-/rows-get":
		s.serveGet(w, r)
	case "/-/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, response rowsResponse) {
	if response.Rows == nil {
		response.Rows = []row{}
	}
	writeJSON(w, status, response)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if r.ContentLength > storeCallBytes || json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := tx.check()
	s.mu.Lock()
	s.mostEntries = max(s.mostEntries, len(tx.IfRev)+len(tx.Puts)+len(tx.Remove))
	s.mu.Unlock()
	if status != http.StatusOK {
		s.mu.Lock()
		s.rejected++
		first := s.rejected == 1
		s.mu.Unlock()
		if first {
			s.record.note("store: transaction rejected with %d: %s", status, reason)
		}
		w.WriteHeader(status)
		return
	}
	s.txMu.Lock()
	time.Sleep(storeTxTime)
	status, response := s.apply(&tx)
	s.txMu.Unlock()
	if status == http.StatusOK && len(tx.IfRev) > 0 {
		s.mu.Lock()
		s.writer = r.RemoteAddr
		s.mu.Unlock()
	}
	s.answer(w, status, response)
}

// check returns the status of a transaction that the store does not accept.
func (tx *transaction) check() (int, string) {
	if len(tx.IfRev)+len(tx.Puts)+len(tx.Remove) > storeEntries {
		return http.StatusBadRequest, strconv.Itoa(len(tx.IfRev)+len(tx.Puts)+len(tx.Remove)) + " entries"
	}
	ids := slices.Clone(tx.Remove)
	for _, p := range tx.Puts {
		if len(p.Value) > storeRowBytes {
			return http.StatusBadRequest, "row " + p.Table + "/" + p.Key + " has " + strconv.Itoa(len(p.Value)) + " bytes"
		}
		ids = append(ids, p.rowID)
	}
	for _, id := range ids {
		if id.Table == "op" || id.Table == "servers" {
			return http.StatusForbidden, "table " + id.Table
		}
		if max(len(id.Table), len(id.Part), len(id.Key)) > storeNameBytes {
			return http.StatusBadRequest, "a name is too long"
		}
	}
	return http.StatusOK, ""
}

func (s *store) apply(tx *transaction) (int, rowsResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for _, c := range tx.IfRev {
		have, exists := s.rows[c.rowID]
		if exists {
			current = append(current, have)
		}
		holds = holds && have.VersionNo == c.VersionNo
	}
	if !holds {
		return http.StatusPreconditionFailed, rowsResponse{Rows: current, VersionNo: s.version, NowMs: s.nowMs()}
	}
	s.version++
	for _, p := range tx.Puts {
		s.change(row{rowID: p.rowID, Value: p.Value})
	}
	for _, id := range tx.Remove {
		s.change(row{rowID: id, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, rowsResponse{VersionNo: s.version, NowMs: s.nowMs()}
}

// change records a change of a row with the current version. The caller holds s.mu.
func (s *store) change(r row) {
	r.VersionNo, r.changedAt = s.version, time.Now()
	if r.Deleted {
		delete(s.rows, r.rowID)
	} else {
		s.rows[r.rowID] = r
	}
	s.changes = append(s.changes, r)
	for len(s.changes) > 0 && time.Since(s.changes[0].changedAt) > storeRetention {
		s.dropped = s.changes[0].VersionNo
		s.changes = s.changes[1:]
	}
}

// put writes a row of the operator, of a server or of another writer; an empty value
// removes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.change(row{rowID: rowID{Table: table, Key: key}, Value: value, Deleted: value == nil})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeReadTime)
	q := r.URL.Query()
	limit := storePageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []row
	for id, have := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") && (q.Get("to") == "" || id.Key < q.Get("to")) {
			rows = append(rows, have)
		}
	}
	response := rowsResponse{VersionNo: s.version, NowMs: s.nowMs()}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for n := range rows {
		if size += len(rows[n].Value); n >= limit || (n > 0 && size > storeCallBytes) {
			rows, response.HasMore = rows[:n], true
			break
		}
	}
	response.Rows = rows
	s.answer(w, http.StatusOK, response)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(storeReadTime)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		latest := map[rowID]row{}
		for _, c := range s.changes {
			if c.VersionNo > after && c.Table == q.Get("table") {
				latest[c.rowID] = c
			}
		}
		response, changed := rowsResponse{VersionNo: s.version, NowMs: s.nowMs()}, s.changed
		s.mu.Unlock()
		for _, c := range latest {
			response.Rows = append(response.Rows, c)
		}
		slices.SortFunc(response.Rows, func(a, b row) int { return cmp.Compare(a.VersionNo, b.VersionNo) })
		if len(response.Rows) > 0 {
			s.answer(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			s.answer(w, http.StatusOK, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// setDown begins or ends an outage of the store.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// lastWriter returns the remote address of the last conditional write.
func (s *store) lastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

func (s *store) rejections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// rowsOf returns the number of rows of a table and their bytes.
func (s *store) rowsOf(table string) (count, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, have := range s.rows {
		if id.Table == table {
			count++
			size += len(have.Value)
		}
	}
	return count, size
}

// largestTx returns the largest number of entries of a transaction so far.
func (s *store) largestTx() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mostEntries
}
