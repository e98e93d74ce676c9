package reference

import (
	"bytes"
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

const page = "../../docs/settings.md"

// Guards against a reference page that differs from the types.
func TestPageIsCurrent(t *testing.T) {
	want := Page()
	if *update {
		if err := os.WriteFile(page, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(have, want) {
		t.Error("docs/settings.md is out of date; run: go test ./internal/reference -update")
	}
}

// Guards against fields without a description.
func TestEveryFieldIsDocumented(t *testing.T) {
	if names := Undocumented(); len(names) > 0 {
		t.Errorf("no description: %v", names)
	}
}
