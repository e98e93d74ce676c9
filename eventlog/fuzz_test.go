package eventlog

import (
	"bytes"
	"reflect"
	"testing"
)

// Guards against a journal row decoder that panics, accepts corrupt data or loses
// a field.
func FuzzDecodeRow(f *testing.F) {
	good, err := EncodeRow(Row{Shard: shard, Epoch: 3, Row: 4, FirstSequence: 5, Payloads: [][]byte{[]byte("a"), {}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("\x85\x61s\x01\x01\x01\x82\x41a\xf6"))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := DecodeRow(value)
		if err != nil {
			// A valid envelope lets the fuzzer reach the decoder of the body.
			sealed, _ := encodeRowEnvelope(value)
			if row, err = DecodeRow(sealed); err != nil {
				return
			}
		}
		again, err := EncodeRow(row)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeRow(again)
		if err != nil || !reflect.DeepEqual(back, row) {
			t.Fatalf("row %+v became %+v (%v)", row, back, err)
		}
	})
}

// Guards against a snapshot decoder that panics or accepts corrupt data.
func FuzzDecodeSnapshot(f *testing.F) {
	good, err := EncodeSnapshot(Snapshot{Shard: shard, Epoch: 3, Sequence: 4, Row: 5, State: []byte("state")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("\x85\x61s\x01\x02\x03\x41x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := DecodeSnapshot(data)
		if err != nil {
			if snapshot, err = DecodeSnapshot(encodeSnapshotEnvelope(data)); err != nil {
				return
			}
		}
		again, err := EncodeSnapshot(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeSnapshot(again)
		if err != nil || back.Sequence != snapshot.Sequence || !bytes.Equal(back.State, snapshot.State) {
			t.Fatalf("snapshot %+v became %+v (%v)", snapshot, back, err)
		}
	})
}
