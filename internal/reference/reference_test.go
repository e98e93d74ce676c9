package reference

import (
	"bytes"
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

const pageFile = "../../docs/settings.md"

// Guards against a reference page that was not generated again after a change of
// the types.
func TestPageIsCurrent(t *testing.T) {
	want := Page()
	if *update {
		if err := os.WriteFile(pageFile, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Error("docs/settings.md is out of date; run: go test ./internal/reference -update")
	}
}

// Guards against fields without a description.
func TestEveryFieldIsDocumented(t *testing.T) {
	if names := UndocumentedFields(); len(names) > 0 {
		t.Errorf("fields without a doc tag: %v", names)
	}
}
