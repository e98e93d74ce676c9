package ownership

import (
	"context"
	"strconv"

	"github.com/mangodrum/mangodrum/errs"
	"github.com/mangodrum/mangodrum/provider"
	"github.com/mangodrum/mangodrum/structs"
)

// Execute performs a ReadRow or WriteRow effect and returns the event with the
// result. It returns false for every other effect. The caller limits the call
// with the context; a timeout of 2 s leaves time for a second attempt to renew a
// lease of 6 s.
func Execute(ctx context.Context, table provider.Table, effect structs.Effect) (structs.Event, bool) {
	switch e := effect.(type) {
	case ReadRow:
		return executeRead(ctx, table, e), true
	case WriteRow:
		return executeWrite(ctx, table, e), true
	}
	return nil, false
}

func executeRead(ctx context.Context, table provider.Table, e ReadRow) RowRead {
	row, err := table.Get(ctx, RowKey(e.Shard))
	if err != nil {
		return RowRead{Shard: e.Shard, ErrKind: kindOf(err)}
	}
	value, err := DecodeRow(row.Value)
	if err != nil {
		return RowRead{Shard: e.Shard, ErrKind: errs.KindOf(err)}
	}
	return RowRead{Shard: e.Shard, Row: value, Version: row.Version}
}

func executeWrite(ctx context.Context, table provider.Table, e WriteRow) WriteEnded {
	result, err := table.Commit(ctx, TxnOf(e))
	if err != nil {
		return WriteEnded{Shard: e.Shard, ErrKind: kindOf(err)}
	}
	return WriteEnded{Shard: e.Shard, Version: result.Versions[RowKey(e.Shard)]}
}

// kindOf returns the kind of an error. Any kind other than not found, not run or
// conflict counts as an unknown outcome.
func kindOf(err error) errs.Kind {
	switch kind := errs.KindOf(err); kind {
	case errs.NotFound, errs.NotRun, errs.Conflict:
		return kind
	}
	return errs.OutcomeUnknown
}

// TxnOf returns the transaction for a WriteRow effect. A takeover writes the
// epoch row; every other write requires it to be unchanged.
func TxnOf(e WriteRow) provider.Txn {
	txn := provider.Txn{
		Conditions: []provider.Condition{{Key: RowKey(e.Shard), Version: e.IfVersion}},
		Writes:     []provider.Write{{Key: RowKey(e.Shard), Value: EncodeRow(e.Row)}},
	}
	if !e.RaisesEpoch {
		txn.Conditions = append(txn.Conditions, EpochCondition(e.Shard, e.Row.Epoch))
		return txn
	}
	txn.Conditions = append(txn.Conditions, EpochCondition(e.Shard, e.Row.Epoch-1))
	value := strconv.FormatUint(uint64(e.Row.Epoch), 10)
	txn.Writes = append(txn.Writes, provider.Write{Key: EpochKey(e.Shard), Value: []byte(value)})
	return txn
}
