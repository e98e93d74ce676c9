package settings

import (
	"context"

	"github.com/mangodrum/mangodrum/structs"
)

// Execute executes an effect of a Follower that is addressed to the store and
// returns the event with its result. It returns nil for all other effects.
func (s *Store) Execute(ctx context.Context, effect structs.Effect) structs.Event {
	switch e := effect.(type) {
	case ReadHead:
		head, err := s.Head(ctx)
		if err != nil {
			return HeadReadFailed{}
		}
		return HeadRead{Head: head}
	case FetchVersions:
		if e.From == storeSource {
			return s.fetchVersions(ctx, e.After)
		}
	case FetchTree:
		if e.From == storeSource {
			return s.fetchTree(ctx)
		}
	}
	return nil
}

func (s *Store) fetchVersions(ctx context.Context, after uint64) structs.Event {
	versions, err := s.Versions(ctx, after, maxVersionGap)
	if err != nil {
		return FetchFailed{}
	}
	return VersionsReceived{Versions: versions}
}

// fetchTree returns the tree of the newest version.
func (s *Store) fetchTree(ctx context.Context) structs.Event {
	head, err := s.Head(ctx)
	if err != nil {
		return FetchFailed{}
	}
	tree, err := s.loadTree(ctx, head)
	if err != nil {
		return FetchFailed{}
	}
	return TreeReceived{Number: head.Number, Hash: head.Hash, Tree: tree}
}
