package settings

import (
	"context"

	"github.com/mangodrum/mangodrum/errs"
)

// Load returns the tree of a version. It starts from the cached tree or the
// newest readable full copy and replays the differences after it.
func (s *Store) Load(ctx context.Context, number uint64) (*Tree, error) {
	version, err := s.Version(ctx, number)
	if err != nil {
		return nil, err
	}
	return s.loadTree(ctx, Head{Number: number, Hash: version.Hash})
}

// loadTree returns the tree of a version whose hash is known; the tree of
// version 0 is nil.
func (s *Store) loadTree(ctx context.Context, head Head) (*Tree, error) {
	if head.Number == 0 {
		return nil, nil
	}
	s.mu.Lock()
	number, tree := s.cachedNumber, s.cachedTree
	s.mu.Unlock()
	if number > head.Number || head.Number-number > copyInterval {
		number, tree = s.readCopy(ctx, head.Number)
	}
	tree, err := s.replayVersions(ctx, number, tree, head.Number)
	if err != nil {
		return nil, err
	}
	if err := checkHash(head.Number, head.Hash, tree); err != nil {
		return nil, err
	}
	s.cacheTree(head.Number, tree)
	return tree, nil
}

// readCopy returns the newest readable full copy of a version up to limit, or
// version 0 if there is none or the object store is unavailable. All differences
// are then replayed.
func (s *Store) readCopy(ctx context.Context, limit uint64) (uint64, *Tree) {
	names, err := s.objects.List(ctx, copyPrefix)
	if err != nil {
		return 0, nil
	}
	for i := len(names) - 1; i >= 0; i-- {
		if names[i] > CopyName(limit) {
			continue
		}
		data, err := s.objects.Get(ctx, names[i])
		if err != nil {
			continue
		}
		if number, tree, err := decodeCopy(names[i], data); err == nil && CopyName(number) == names[i] {
			return number, tree
		}
	}
	return 0, nil
}

// replayVersions applies the differences of the versions above from up to to. If
// there are more than copyInterval, a full copy is missing, for example because
// the object store was unavailable; replayVersions then saves the newest one.
func (s *Store) replayVersions(ctx context.Context, from uint64, tree *Tree, to uint64) (*Tree, error) {
	var copyNumber uint64
	var copyTree *Tree
	for at := from; at < to; {
		versions, err := s.Versions(ctx, at, int(min(scanPageSize, to-at)))
		if err != nil {
			return nil, err
		}
		if len(versions) == 0 || versions[0].Number != at+1 {
			return nil, errs.New(errs.Failed, "restore the settings' rows from a backup", "settings version %d is missing", at+1)
		}
		for _, version := range versions {
			if tree, err = applyUnchecked(tree, version.Diff); err != nil {
				return nil, errs.Wrap(err, errs.Failed, "restore the settings' rows from a backup", "replay settings version %d", version.Number)
			}
			if at = version.Number; at%copyInterval == 0 {
				copyNumber, copyTree = at, tree
			}
		}
	}
	if to-from > copyInterval && copyNumber > 0 {
		s.saveCopy(ctx, copyNumber, copyTree)
	}
	return tree, nil
}

// saveCopy writes a full copy. A failure is not reported: loads replay more
// differences until one of them saves the copy.
func (s *Store) saveCopy(ctx context.Context, number uint64, tree *Tree) {
	_ = s.objects.Put(ctx, CopyName(number), encodeCopy(number, tree))
}
