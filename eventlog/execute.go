package eventlog

import (
	"context"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Execute executes a CommitRow or ReadRow effect and returns the event with its
// result. It returns nil for all other effects.
func Execute(ctx context.Context, table provider.Table, effect structs.Effect) structs.Event {
	switch e := effect.(type) {
	case CommitRow:
		_, err := table.Commit(ctx, provider.Txn{
			Conditions: e.Conditions,
			Writes:     []provider.Write{{Key: e.Key, Value: e.Value}},
		})
		return CommitEnded{ErrKind: commitKind(err)}
	case ReadRow:
		row, err := table.Get(ctx, e.Key)
		if errs.Is(err, errs.NotFound) {
			return ReadBack{}
		}
		if err != nil {
			return ReadBack{ErrKind: commitKind(err)}
		}
		return ReadBack{Found: true, Value: row.Value}
	}
	return nil
}

// commitKind returns the kind of a commit error. All errors except errs.NotRun
// and errs.Conflict count as an unknown outcome.
func commitKind(err error) errs.Kind {
	if err == nil {
		return ""
	}
	switch kind := errs.KindOf(err); kind {
	case errs.NotRun, errs.Conflict:
		return kind
	}
	return errs.OutcomeUnknown
}
