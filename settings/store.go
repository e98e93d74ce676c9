package settings

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

const (
	// copyInterval is the number of versions between two full copies of the
	// tree. A new instance replays at most this many differences.
	copyInterval = 100
	// commitAttempts limits the attempts of a commit whose outcome is unknown.
	commitAttempts = 4
	// retryDelay is the delay before the second attempt; it doubles with every
	// further one.
	retryDelay = 50 * time.Millisecond
	// scanPageSize is the largest number of rows read by one scan.
	scanPageSize = 500
)

// Store stores the versions of the settings in the platform's table and full
// copies of the tree in its object store. It is safe for concurrent use.
type Store struct {
	table   provider.Table
	objects provider.Objects
	now     func() structs.Timestamp
	sleep   func(ctx context.Context, d time.Duration) error

	mu           sync.Mutex
	cachedNumber uint64 // newest version loaded or committed by this Store
	cachedTree   *Tree
}

// NewStore returns a store. now provides the times of new versions. sleep delays
// retries and returns an error if the context ends first; nil means a timer.
func NewStore(table provider.Table, objects provider.Objects, now func() structs.Timestamp,
	sleep func(ctx context.Context, d time.Duration) error) *Store {
	if sleep == nil {
		sleep = sleepTimer
	}
	return &Store{table: table, objects: objects, now: now, sleep: sleep}
}

func sleepTimer(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Head returns the number and hash of the newest version; the number is 0 if
// there are no settings yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

func (s *Store) readHead(ctx context.Context) (Head, uint64, error) {
	row, err := s.table.Get(ctx, HeadKey)
	if errs.Is(err, errs.NotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, readError(err, "read the head of the settings")
	}
	head, err := decodeRow[Head](HeadKey, row.Value)
	return head, row.Version, err
}

// readError returns the error of a failed read with the kind errs.NotRun,
// because a read has no effect even if only its reply was lost.
func readError(err error, what string) error {
	return errs.Wrap(err, errs.NotRun, "try again when the platform's store answers", "%s", what)
}

// Version returns one version.
func (s *Store) Version(ctx context.Context, number uint64) (Version, error) {
	key := VersionKey(number)
	row, err := s.table.Get(ctx, key)
	if errs.Is(err, errs.NotFound) {
		return Version{}, errs.New(errs.NotFound, "list the versions with: mangodrum settings history",
			"settings version %d does not exist", number)
	}
	if err != nil {
		return Version{}, readError(err, "read a version of the settings")
	}
	return decodeRow[Version](key, row.Value)
}

// Versions returns up to limit versions above after, in ascending order.
func (s *Store) Versions(ctx context.Context, after uint64, limit int) ([]Version, error) {
	var versions []Version
	for len(versions) < limit {
		page := min(scanPageSize, limit-len(versions))
		rows, err := s.table.Scan(ctx, versionPrefix, VersionKey(after), page)
		if err != nil {
			return nil, readError(err, "read versions of the settings")
		}
		for _, row := range rows {
			version, err := decodeRow[Version](row.Key, row.Value)
			if err != nil {
				return nil, err
			}
			versions = append(versions, version)
			after = version.Number
		}
		if len(rows) < page {
			break
		}
	}
	return versions, nil
}

// History returns up to limit versions below before, newest first. If before is
// 0, it starts with the newest version.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]Version, error) {
	if before == 0 {
		head, err := s.Head(ctx)
		if err != nil {
			return nil, err
		}
		before = head.Number + 1
	}
	first := uint64(1)
	if before > uint64(limit) {
		first = before - uint64(limit)
	}
	versions, err := s.Versions(ctx, first-1, int(before-first))
	slices.Reverse(versions)
	return versions, err
}

// Commit commits the change as the next version, or fails with errs.Conflict if
// another change was committed first. A repeated commit with the same ChangeID
// returns the version of the first one. A change without differences returns the
// version in force. After errs.OutcomeUnknown, the caller should repeat the
// commit with the same ChangeID.
func (s *Store) Commit(ctx context.Context, c Commit) (Version, error) {
	if err := c.check(); err != nil {
		return Version{}, err
	}
	if version, found, err := s.findChange(ctx, c); found || err != nil {
		return version, err
	}
	head, headRow, err := s.readHead(ctx)
	if err != nil {
		return Version{}, err
	}
	if head.Number != c.Base {
		return Version{}, s.conflictErrorSince(ctx, c.Base, head)
	}
	base, err := s.loadTree(ctx, head)
	if err != nil {
		return Version{}, err
	}
	if head.Number > 0 && head.Hash == c.Tree.Hash() {
		return s.Version(ctx, head.Number)
	}
	txn, version := buildTxn(head, headRow, base, c, s.now())
	committed, err := s.commitTxn(ctx, txn, version, c)
	if err != nil {
		return Version{}, err
	}
	s.cacheTree(committed.Number, c.Tree)
	if committed.Number%copyInterval == 0 {
		s.saveCopy(ctx, committed.Number, c.Tree)
	}
	return committed, nil
}

// findChange returns the version that was committed with the change's identifier
// and whether there is one. It fails with errs.Conflict if that version has
// another content than the change.
func (s *Store) findChange(ctx context.Context, c Commit) (Version, bool, error) {
	key := changePrefix + c.ChangeID
	row, err := s.table.Get(ctx, key)
	if errs.Is(err, errs.NotFound) {
		return Version{}, false, nil
	}
	if err != nil {
		return Version{}, false, readError(err, "look for the change identifier")
	}
	number, err := decodeRow[uint64](key, row.Value)
	if err != nil {
		return Version{}, false, err
	}
	version, err := s.Version(ctx, number)
	if err != nil {
		return Version{}, false, err
	}
	if version.Hash != c.Tree.Hash() {
		return Version{}, true, errs.New(errs.Conflict, "use a new change identifier for a new change",
			"change identifier %q belongs to version %d, which has another content", c.ChangeID, number)
	}
	return version, true, nil
}

// conflictErrorSince returns the error of a change whose base is not the newest
// version.
func (s *Store) conflictErrorSince(ctx context.Context, base uint64, head Head) error {
	if base > head.Number {
		return errs.New(errs.InvalidInput, "use a version of: mangodrum settings history",
			"base version %d does not exist; the newest is %d", base, head.Number)
	}
	since, err := s.Versions(ctx, base, int(head.Number-base))
	if err != nil {
		return err
	}
	return conflictError(base, since)
}

// commitTxn commits the transaction. After an unknown outcome or a conflict it
// looks up the change identifier. After an unknown outcome it repeats the
// transaction if the identifier is absent; the conditions prevent the
// transaction from taking effect twice.
func (s *Store) commitTxn(ctx context.Context, txn provider.Txn, version Version, c Commit) (Version, error) {
	unknown := false
	for attempt := range commitAttempts {
		if attempt > 0 && s.sleep(ctx, retryDelay<<(attempt-1)) != nil {
			break
		}
		_, err := s.table.Commit(ctx, txn)
		if err == nil {
			return version, nil
		}
		if errs.Is(err, errs.NotRun) && !unknown {
			return Version{}, errs.Wrap(err, errs.NotRun, "repeat the change when the platform's store answers",
				"commit settings version %d", version.Number)
		}
		conflict := errs.Is(err, errs.Conflict)
		unknown = unknown || !conflict
		found, done, err := s.findChange(ctx, c)
		switch {
		case done:
			return found, err
		case err == nil && conflict:
			return Version{}, s.conflictAfterRace(ctx, c)
		}
	}
	return Version{}, errs.New(errs.OutcomeUnknown,
		"repeat the change with change identifier "+c.ChangeID+"; it takes effect at most once",
		"the store's reply to settings version %d was lost", version.Number)
}

// conflictAfterRace returns the conflict error of a transaction whose conditions
// did not hold because of another change. It omits details that cannot be read.
func (s *Store) conflictAfterRace(ctx context.Context, c Commit) error {
	head, err := s.Head(ctx)
	if err != nil {
		return conflictError(c.Base, nil)
	}
	if err := s.conflictErrorSince(ctx, c.Base, head); errs.Is(err, errs.Conflict) {
		return err
	}
	return conflictError(c.Base, nil)
}

// Rollback commits the tree of version to as a new version.
func (s *Store) Rollback(ctx context.Context, to uint64, c Commit) (Version, error) {
	tree, err := s.Load(ctx, to)
	if err != nil {
		return Version{}, err
	}
	c.Tree = tree
	return s.Commit(ctx, c)
}

// cacheTree keeps the tree if its version is newer than the cached one.
func (s *Store) cacheTree(number uint64, tree *Tree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number > s.cachedNumber {
		s.cachedNumber, s.cachedTree = number, tree
	}
}
