package main

import (
	"testing"

	"github.com/ragwortpass/ragwortpass/entry"
	"github.com/ragwortpass/ragwortpass/setting/settingtest"
)

func TestSettingsTable(t *testing.T) {
	settingtest.Compare(t, "../../docs/OPERATORS.md", "ragwort-entry", &entry.Settings{})
}
