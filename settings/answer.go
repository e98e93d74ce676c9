package settings

import (
	"context"

	"github.com/mangodrum/mangodrum/structs"
)

// Answer carries out an effect of a Follower that is directed to the store and
// returns the event that answers it. It returns nil for all other effects.
func (s *Store) Answer(ctx context.Context, effect structs.Effect) structs.Event {
	switch e := effect.(type) {
	case ReadHead:
		head, err := s.Head(ctx)
		if err != nil {
			return HeadReadFailed{}
		}
		return HeadRead{Head: head}
	case FetchVersions:
		if e.From == storeSource {
			return s.answerVersions(ctx, e.After)
		}
	case FetchTree:
		if e.From == storeSource {
			return s.answerTree(ctx)
		}
	}
	return nil
}

func (s *Store) answerVersions(ctx context.Context, after uint64) structs.Event {
	versions, err := s.Versions(ctx, after, maxGap)
	if err != nil {
		return FetchFailed{}
	}
	return VersionsReceived{Versions: versions}
}

// answerTree returns the tree of the newest version.
func (s *Store) answerTree(ctx context.Context) structs.Event {
	head, err := s.Head(ctx)
	if err != nil {
		return FetchFailed{}
	}
	tree, err := s.load(ctx, head)
	if err != nil {
		return FetchFailed{}
	}
	return TreeReceived{Number: head.Number, Hash: head.Hash, Tree: tree}
}
