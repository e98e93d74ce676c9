package ownership

import "testing"

// Guards against a row decoder that panics, accepts a row without an owner or
// epoch, or loses a field.
func FuzzDecodeRow(f *testing.F) {
	f.Add(EncodeRow(Row{Owner: "i1", Incarnation: 2, Epoch: 3, Expiry: 4, LeaseHorizon: 5, PreviousHorizon: 6, Successor: "i2"}))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := DecodeRow(value)
		if err != nil {
			return
		}
		if row.Owner == "" || row.Epoch == 0 {
			t.Fatalf("accepted %+v", row)
		}
		back, err := DecodeRow(EncodeRow(row))
		if err != nil || back != row {
			t.Fatalf("row %+v became %+v (%v)", row, back, err)
		}
	})
}
