package settings

import (
	"context"

	"github.com/mangodrum/mangodrum/errs"
)

// Load returns the tree of a version. It starts at the newest full copy that
// is readable and replays the differences after it.
func (s *Store) Load(ctx context.Context, number uint64) (*Tree, error) {
	version, err := s.Version(ctx, number)
	if err != nil {
		return nil, err
	}
	return s.load(ctx, Head{Number: number, Hash: version.Hash})
}

// load returns the tree of a version whose hash is known; the tree of version
// 0 is nil.
func (s *Store) load(ctx context.Context, head Head) (*Tree, error) {
	if head.Number == 0 {
		return nil, nil
	}
	s.mu.Lock()
	number, tree := s.number, s.tree
	s.mu.Unlock()
	if number > head.Number || head.Number-number > copyInterval {
		number, tree = s.readCopy(ctx, head.Number)
	}
	tree, err := s.replay(ctx, number, tree, head.Number)
	if err != nil {
		return nil, err
	}
	if err := checkHash(head.Number, head.Hash, tree); err != nil {
		return nil, err
	}
	s.remember(head.Number, tree)
	return tree, nil
}

// readCopy returns the newest readable copy of a version up to limit, or
// version 0. Without the object store all differences are replayed.
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

// replay applies the differences of the versions above from up to to. When it
// passes more versions than lie between two copies, a copy is missing, for
// example because the object store was down, and it saves the newest one.
func (s *Store) replay(ctx context.Context, from uint64, tree *Tree, to uint64) (*Tree, error) {
	var copyNumber uint64
	var copyTree *Tree
	for at := from; at < to; {
		versions, err := s.Versions(ctx, at, int(min(scanPage, to-at)))
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

// saveCopy writes a full copy. A failure is not an error of the caller: loads
// replay more differences until a later load saves the copy.
func (s *Store) saveCopy(ctx context.Context, number uint64, tree *Tree) {
	_ = s.objects.Put(ctx, CopyName(number), encodeCopy(number, tree))
}
