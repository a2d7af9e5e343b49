package rule_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/ragwortpass/ragwortpass/rule"
)

// FuzzRead parses arbitrary text. The result must be either a rule set or a list of
// errors with a line and column of at least 1.
func FuzzRead(f *testing.F) {
	files, _ := filepath.Glob("../examples/*.rules")
	for _, name := range append(files, "testdata/errors.txt") {
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
				t.Fatal("the rule set does not hold its source text")
			}
			return
		}
		parseErrors, ok := err.(rule.Errors) //nolint:errorlint // Parse documents this exact type
		if !ok || len(parseErrors) == 0 {
			t.Fatalf("error %v is not a non-empty rule.Errors", err)
		}
		for _, e := range parseErrors {
			if e.Line < 1 || e.Column < 1 {
				t.Fatalf("line or column of an error is below 1: %v", e)
			}
		}
	})
}
