package main

import (
	"testing"

	"github.com/ragwortpass/ragwortpass/setting/settingtest"
)

// TestSettingsTable fails if the settings table in the operators' manual is out of date.
func TestSettingsTable(t *testing.T) {
	settingtest.Compare(t, "../../docs/OPERATORS.md", "ragwortctl", &settings{})
}
