package main

import (
	"testing"

	"github.com/ragwortpass/ragwortpass/setting/settingtest"
	"github.com/ragwortpass/ragwortpass/sidecar"
)

// TestSettingsTable fails if the settings table in the operators' manual is out of date.
func TestSettingsTable(t *testing.T) {
	settingtest.Compare(t, "../../docs/OPERATORS.md", "ragwort-sidecar", &sidecar.Settings{})
}
