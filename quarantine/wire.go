package quarantine

// This file defines the form in which reports travel between gateways.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Encode returns the wire form of a report. HoldsComplete says that the sender knows the holds
// that are saved on the store.
func Encode(report Report, holdsComplete bool) *ragwortv1.PromptEvidence {
	out := &ragwortv1.PromptEvidence{HoldsComplete: holdsComplete}
	for _, c := range report.Crashes {
		crash := &ragwortv1.EngineCrash{Upstream: string(c.Start.Upstream), StartUnixMs: c.Start.UnixMS, AtUnixMs: c.At.UnixMilli()}
		for _, part := range c.Silent {
			crash.SilentParts = append(crash.SilentParts, string(part))
		}
		for _, part := range c.Begun {
			crash.BegunParts = append(crash.BegunParts, string(part))
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, c := range report.Clearances {
		out.Clearances = append(out.Clearances, &ragwortv1.PartClearance{Part: string(c.Part), AtUnixMs: c.At.UnixMilli()})
	}
	for _, h := range report.Holds {
		out.Holds = append(out.Holds, &ragwortv1.PartHold{Part: string(h.Part), SinceUnixMs: h.Since.UnixMilli(), Crashes: uint32(h.Crashes)})
	}
	return out
}

// Decode returns the report of a peer.
func Decode(evidence *ragwortv1.PromptEvidence) (report Report) {
	for _, c := range evidence.GetCrashes() {
		crash := Crash{Start: Start{Upstream: id.Upstream(c.GetUpstream()), UnixMS: c.GetStartUnixMs()}, At: time.UnixMilli(c.GetAtUnixMs())}
		for _, part := range c.GetSilentParts() {
			crash.Silent = append(crash.Silent, id.PromptPart(part))
		}
		for _, part := range c.GetBegunParts() {
			crash.Begun = append(crash.Begun, id.PromptPart(part))
		}
		report.Crashes = append(report.Crashes, crash)
	}
	for _, c := range evidence.GetClearances() {
		report.Clearances = append(report.Clearances, Clearance{Part: id.PromptPart(c.GetPart()), At: time.UnixMilli(c.GetAtUnixMs())})
	}
	for _, h := range evidence.GetHolds() {
		report.Holds = append(report.Holds, Hold{Part: id.PromptPart(h.GetPart()), Since: time.UnixMilli(h.GetSinceUnixMs()), Crashes: int(h.GetCrashes())})
	}
	return report
}
