package main

import (
	"testing"

	"github.com/ragwortpass/ragwortpass/setting/settingtest"
	"github.com/ragwortpass/ragwortpass/sidecar"
)

func TestSettingsTable(t *testing.T) {
	settingtest.Compare(t, "../../docs/OPERATORS.md", "ragwort-sidecar", &sidecar.Settings{})
}
