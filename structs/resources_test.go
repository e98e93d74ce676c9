package structs

import "testing"

// TestResourcesFitsChecksEveryResource guards against a placement that exceeds
// the capacity of one resource because only another was compared.
func TestResourcesFitsChecksEveryResource(t *testing.T) {
	capacity := Resources{MilliCPU: 1000, MemoryBytes: 100, Accelerators: 1}
	cases := map[string]struct {
		need Resources
		want bool
	}{
		"equal":        {capacity, true},
		"processors":   {Resources{MilliCPU: 1001}, false},
		"memory":       {Resources{MemoryBytes: 101}, false},
		"accelerators": {Resources{Accelerators: 2}, false},
	}
	for name, c := range cases {
		if got := c.need.Fits(capacity); got != c.want {
			t.Errorf("%s: Fits = %v, want %v", name, got, c.want)
		}
	}
}
