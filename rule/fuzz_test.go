package rule_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/ragwortpass/ragwortpass/rule"
)

// FuzzRead reads any text: it is a set, or faults that lie within the text.
func FuzzRead(f *testing.F) {
	files, _ := filepath.Glob("../examples/*.rules")
	for _, name := range append(files, "testdata/faults.txt") {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		set, err := rule.Parse("rules", text)
		if err == nil {
			if set == nil || set.Text != text {
				t.Fatal("a set without its text")
			}
			return
		}
		faults, ok := err.(rule.Errors) //nolint:errorlint // the documented type
		if !ok || len(faults) == 0 {
			t.Fatalf("not faults: %v", err)
		}
		for _, x := range faults {
			if x.Line < 1 || x.Column < 1 {
				t.Fatalf("a fault outside the text: %v", x)
			}
		}
	})
}
