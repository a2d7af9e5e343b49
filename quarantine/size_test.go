package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quarantine"
)

// TestReportSize measures what a report adds to a row, for docs/CAPACITY.md, and bounds it at rest.
func TestReportSize(t *testing.T) {
	size := func(r quarantine.Report) int { return proto.Size(quarantine.Encode(r, true)) }
	parts := []id.PromptPart{"5c1e07a2", "91bd3f06", "e4402b7d"}
	crash := quarantine.Crash{Start: quarantine.Start{Upstream: "i-6f9292b5fc", UnixMS: epoch.UnixMilli()}, At: epoch.Add(time.Second), Silent: parts}
	t.Logf("at rest %d bytes, a crash with three parts %d, a clearance %d, a hold %d", size(quarantine.Report{}), size(quarantine.Report{Crashes: []quarantine.Crash{crash}}),
		size(quarantine.Report{Clearances: []quarantine.Clearance{{Part: parts[0], At: epoch}}}), size(quarantine.Report{Holds: []quarantine.Hold{{Part: parts[0], Since: epoch, Crashes: 3}}}))
	require.LessOrEqual(t, size(quarantine.Report{}), 4)
}
