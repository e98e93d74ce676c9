package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
)

// Fault describes the faults of one call of the store.
type Fault struct {
	Unavailable bool          // reject the call without applying it
	LoseReply   bool          // apply the call, then report an unknown outcome
	Delay       time.Duration // wait before the call
}

// Store is an in-memory table and object store.
type Store struct {
	// MaxBytes limits the size of all rows and objects; 0 means no limit. Use
	// SetMaxBytes once the store is in use.
	MaxBytes int64
	// Fault returns the faults of a call; nil means no faults. op is "get", "scan",
	// "commit", "put", "get-object", "list" or "delete".
	Fault func(op string) Fault

	mu      sync.Mutex
	rows    map[string]provider.Row
	keys    []string // sorted keys of rows
	objects map[string][]byte
	bytes   int64
	writes  uint64
	reads   uint64
}

var (
	_ provider.Table   = (*Store)(nil)
	_ provider.Objects = (*objectStore)(nil)
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[string]provider.Row{}, objects: map[string][]byte{}}
}

// Objects returns the object store of s.
func (s *Store) Objects() provider.Objects { return (*objectStore)(s) }

// Counts returns the numbers of write calls and read calls so far.
func (s *Store) Counts() (writes, reads uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}

// SetMaxBytes changes the limit of the size of all rows and objects.
func (s *Store) SetMaxBytes(limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxBytes = limit
}

func (s *Store) applyFault(ctx context.Context, op string) (Fault, error) {
	if s.Fault == nil {
		return Fault{}, nil
	}
	fault := s.Fault(op)
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-ctx.Done():
			return fault, errs.Wrap(ctx.Err(), errs.OutcomeUnknown, "read the row back", "store %s", op)
		}
	}
	if fault.Unavailable {
		return fault, errs.New(errs.NotRun, "try again when the store is available", "store %s: unavailable", op)
	}
	return fault, nil
}

func (f Fault) replyError(op string) error {
	if !f.LoseReply {
		return nil
	}
	return errs.New(errs.OutcomeUnknown, "read the row back", "store %s: reply lost", op)
}

// Get implements provider.Table.
func (s *Store) Get(ctx context.Context, key string) (provider.Row, error) {
	fault, err := s.applyFault(ctx, "get")
	if err != nil {
		return provider.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	row, ok := s.rows[key]
	if !ok {
		return provider.Row{}, errs.New(errs.NotFound, "", "row %q does not exist", key)
	}
	return row, fault.replyError("get")
}

// Scan implements provider.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	fault, err := s.applyFault(ctx, "scan")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var out []provider.Row
	for i := sort.SearchStrings(s.keys, max(prefix, after)); i < len(s.keys) && len(out) < limit; i++ {
		key := s.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			out = append(out, s.rows[key])
		}
	}
	return out, fault.replyError("scan")
}

// Commit implements provider.Table.
func (s *Store) Commit(ctx context.Context, txn provider.Txn) (provider.TxnResult, error) {
	fault, err := s.applyFault(ctx, "commit")
	if err != nil {
		return provider.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	for _, cond := range txn.Conditions {
		if have := s.rows[cond.Key].Version; have != cond.Version {
			return provider.TxnResult{}, errs.New(errs.Conflict, "read the row and try again",
				"row %q has version %d, not %d", cond.Key, have, cond.Version)
		}
	}
	var added int64
	for _, write := range txn.Writes {
		added += int64(len(write.Key) + len(write.Value))
	}
	if err := s.checkSpace(added); err != nil {
		return provider.TxnResult{}, err
	}
	result := provider.TxnResult{Versions: make(map[string]uint64, len(txn.Writes))}
	for _, write := range txn.Writes {
		result.Versions[write.Key] = s.put(write)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	return result, fault.replyError("commit")
}

func (s *Store) checkSpace(added int64) error {
	if s.MaxBytes == 0 || s.bytes+added <= s.MaxBytes {
		return nil
	}
	return errs.New(errs.NotRun, "free space in the store or raise its limit",
		"store is full: %d of %d bytes used, %d more needed", s.bytes, s.MaxBytes, added)
}

func (s *Store) put(write provider.Write) uint64 {
	old, exists := s.rows[write.Key]
	if !exists {
		i := sort.SearchStrings(s.keys, write.Key)
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = write.Key
		s.bytes += int64(len(write.Key))
	}
	s.bytes += int64(len(write.Value) - len(old.Value))
	value := append([]byte(nil), write.Value...)
	s.rows[write.Key] = provider.Row{Key: write.Key, Value: value, Version: old.Version + 1}
	return old.Version + 1
}

func (s *Store) remove(key string) {
	old, exists := s.rows[key]
	if !exists {
		return
	}
	i := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:i], s.keys[i+1:]...)
	s.bytes -= int64(len(key) + len(old.Value))
	delete(s.rows, key)
}

// objectStore implements provider.Objects on a Store.
type objectStore Store

func (o *objectStore) store() *Store { return (*Store)(o) }

// Put implements provider.Objects.
func (o *objectStore) Put(ctx context.Context, name string, data []byte) error {
	s := o.store()
	fault, err := s.applyFault(ctx, "put")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	added := int64(len(data) - len(s.objects[name]))
	if err := s.checkSpace(added); err != nil {
		return err
	}
	s.bytes += added
	s.objects[name] = append([]byte(nil), data...)
	return fault.replyError("put")
}

// Get implements provider.Objects.
func (o *objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	s := o.store()
	fault, err := s.applyFault(ctx, "get-object")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	data, ok := s.objects[name]
	if !ok {
		return nil, errs.New(errs.NotFound, "", "object %q does not exist", name)
	}
	return append([]byte(nil), data...), fault.replyError("get-object")
}

// List implements provider.Objects.
func (o *objectStore) List(ctx context.Context, prefix string) ([]string, error) {
	s := o.store()
	fault, err := s.applyFault(ctx, "list")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var names []string
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, fault.replyError("list")
}

// Delete implements provider.Objects.
func (o *objectStore) Delete(ctx context.Context, name string) error {
	s := o.store()
	fault, err := s.applyFault(ctx, "delete")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.bytes -= int64(len(s.objects[name]))
	delete(s.objects, name)
	return fault.replyError("delete")
}
