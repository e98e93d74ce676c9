package eventlog

import (
	"context"
	"testing"
)

// BenchmarkLoad measures the time to read back one record from rows of 10, 100
// and 1,000 records of 100 bytes each.
func BenchmarkLoad(b *testing.B) {
	for name, perRow := range map[string]int{"row-of-10": 10, "row-of-100": 100, "row-of-1000": 1000} {
		b.Run(name, func(b *testing.B) {
			const records = 20_000
			r := newTestJournal(b, Config{})
			for i := range records {
				r.appendPayload(string(make([]byte, 100)))
				if i%perRow == perRow-1 {
					r.flush(1)
				}
			}
			for b.Loop() {
				loaded, err := Load(context.Background(), Store{r.store, r.store.Objects()}, shard)
				if err != nil || len(loaded.Entries) != records {
					b.Fatal(len(loaded.Entries), err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/records, "ns/record")
		})
	}
}

// BenchmarkAppend measures one append including its share of the commit.
func BenchmarkAppend(b *testing.B) {
	r := newTestJournal(b, Config{})
	payload := string(make([]byte, 100))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.appendPayload(payload)
		if i%60 == 59 { // 60 appends per flush are 1,200 per second
			r.flush(1)
		}
	}
}
