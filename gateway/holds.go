package gateway

// This file defines how the evidence and the holds of package quarantine travel between
// gateways, in their rows, and how the holds are kept on the store.

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/quarantine"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	// keepInterval is the time between two checks of whether the holds must be loaded or saved.
	keepInterval = 200 * time.Millisecond
	// keepTimeout bounds one call to load or save the holds.
	keepTimeout = 500 * time.Millisecond
	// keepFailureDelay is the pause after a failed load or save.
	keepFailureDelay = time.Second
	// holdLoadPatience is how long a starting gateway waits for a peer that knows the saved
	// holds before it reads them itself.
	holdLoadPatience = 1500 * time.Millisecond
)

// encodeEvidence returns the wire form of a report.
func encodeEvidence(report quarantine.Report, holdsComplete bool) *ragwortv1.PromptEvidence {
	out := &ragwortv1.PromptEvidence{HoldsComplete: holdsComplete}
	for _, c := range report.Crashes {
		crash := &ragwortv1.EngineCrash{Upstream: string(c.Start.Upstream), StartUnixMs: c.Start.UnixMS, AtUnixMs: c.At.UnixMilli()}
		for _, part := range c.Parts {
			crash.Parts = append(crash.Parts, string(part))
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

// decodeEvidence returns the report of a peer.
func decodeEvidence(evidence *ragwortv1.PromptEvidence) (report quarantine.Report) {
	for _, c := range evidence.GetCrashes() {
		crash := quarantine.Crash{Start: quarantine.Start{Upstream: id.Upstream(c.GetUpstream()), UnixMS: c.GetStartUnixMs()}, At: time.UnixMilli(c.GetAtUnixMs())}
		for _, part := range c.GetParts() {
			crash.Parts = append(crash.Parts, id.PromptPart(part))
		}
		report.Crashes = append(report.Crashes, crash)
	}
	for _, c := range evidence.GetClearances() {
		report.Clearances = append(report.Clearances, quarantine.Clearance{Part: id.PromptPart(c.GetPart()), At: time.UnixMilli(c.GetAtUnixMs())})
	}
	for _, h := range evidence.GetHolds() {
		report.Holds = append(report.Holds, quarantine.Hold{Part: id.PromptPart(h.GetPart()), Since: time.UnixMilli(h.GetSinceUnixMs()), Crashes: int(h.GetCrashes())})
	}
	return report
}

// savedHold is the JSON form of the value of a record that saves a hold; its key is the part.
type savedHold struct {
	SinceUnixMS int64 `json:"since_unix_ms"`
	Crashes     int   `json:"crashes"`
}

// holdRecords returns the records that save holds.
func holdRecords(holds []quarantine.Hold) (records []feed.Record, err error) {
	for _, h := range holds {
		value, err := json.Marshal(savedHold{SinceUnixMS: h.Since.UnixMilli(), Crashes: h.Crashes})
		if err != nil {
			return nil, err
		}
		records = append(records, feed.Record{Key: string(h.Part), Value: value})
	}
	return records, nil
}

// parseHolds returns the holds that records save. An unreadable record is logged and left out.
func parseHolds(records []feed.Record, logger log.Logger) (holds []quarantine.Hold) {
	for _, r := range records {
		var saved savedHold
		if err := json.Unmarshal(r.Value, &saved); err != nil {
			_ = logger.Log("event", "hold_unreadable", "part", r.Key, "err", err)
			continue
		}
		holds = append(holds, quarantine.Hold{Part: id.PromptPart(r.Key), Since: time.UnixMilli(saved.SinceUnixMS), Crashes: saved.Crashes})
	}
	return holds
}

// holdKeeper saves the holds of the fleet on the store while its gateway is the leader, and
// loads them at the start, unless a peer knows them already.
type holdKeeper struct {
	register  *quarantine.Register
	store     feed.CopyStore
	gateway   *Gateway
	table     *peer.Table
	isLeader  func() bool
	fleetTime func() time.Time
	storeEra  func() feed.Era
	logger    log.Logger

	complete atomic.Bool // the saved holds are known
	saved    string      // records of the last page that was saved or loaded; used by the keeper's goroutine only
	savedAt  feed.Position
	known    bool // saved is what the store has
}

// run loads and saves the holds until ctx is done.
func (k *holdKeeper) run(ctx context.Context) {
	started := time.Now()
	for wait := keepInterval; sleepFor(ctx, wait); {
		wait = keepInterval
		if !k.step(ctx, time.Since(started)) {
			wait = keepFailureDelay
		}
	}
}

// sleepFor waits for a duration. It returns false if ctx is done first.
func sleepFor(ctx context.Context, d time.Duration) bool { return sleepUntil(ctx, time.Now().Add(d)) }

// step loads or saves the holds if that is due. It reports false after a failure.
func (k *holdKeeper) step(ctx context.Context, age time.Duration) bool {
	leads := k.isLeader()
	if !k.complete.Load() && k.peerIsComplete() {
		k.complete.Store(true)
	}
	if !k.known && (leads || !k.complete.Load() && age > holdLoadPatience) {
		if !k.load(ctx) {
			return false
		}
	}
	if !leads {
		k.known = false // another gateway saves from now on
		return true
	}
	return k.save(ctx)
}

// peerIsComplete reports whether a live peer knows the saved holds, which reach this gateway
// with the peers' rows.
func (k *holdKeeper) peerIsComplete() bool {
	for _, r := range k.table.Live(time.Now()) {
		if r.GetPrompts().GetHoldsComplete() {
			return true
		}
	}
	return false
}

// load adopts the newest copy of the holds. It reports false if no place can be read.
func (k *holdKeeper) load(ctx context.Context) bool {
	var newest feed.Page
	read := 0
	for place := range k.store.Places() {
		callCtx, cancel := context.WithTimeout(ctx, keepTimeout)
		page, err := k.store.Load(callCtx, place)
		cancel()
		if err != nil {
			_ = k.logger.Log("event", "holds_unread", "place", place, "err", err)
			continue
		}
		read++
		if read == 1 || newest.Next.Compare(page.Next) < 0 {
			newest = page
		}
	}
	if read == 0 {
		return false
	}
	text, err := json.Marshal(newest.Records)
	if err != nil {
		_ = k.logger.Log("event", "holds_unread", "err", err)
		return false
	}
	holds := parseHolds(newest.Records, k.logger)
	k.saved, k.savedAt, k.known = string(text), newest.Next, true
	k.gateway.LogHolds(k.register.Restore(k.fleetTime(), holds))
	k.complete.Store(true)
	_ = k.logger.Log("event", "holds_loaded", "holds", len(holds), "offset", newest.Next)
	return true
}

// save saves the holds at every place if they have changed, or the store is in a new era and
// may have lost them. It reports false after a failure.
func (k *holdKeeper) save(ctx context.Context) bool {
	records, err := holdRecords(k.register.Holds(k.fleetTime()))
	if err != nil {
		_ = k.logger.Log("event", "holds_not_saved", "err", err)
		return false
	}
	text, err := json.Marshal(records)
	if err != nil {
		_ = k.logger.Log("event", "holds_not_saved", "err", err)
		return false
	}
	next := feed.Position{Era: max(k.storeEra(), k.savedAt.Era), Offset: k.savedAt.Offset}
	if string(text) == k.saved && (next.Era == k.savedAt.Era || len(records) == 0) {
		return true
	}
	next.Offset++
	saved := 0
	for place := range k.store.Places() {
		callCtx, cancel := context.WithTimeout(ctx, keepTimeout)
		err := k.store.Save(callCtx, place, feed.Page{Records: records, Next: next})
		cancel()
		if err != nil {
			_ = k.logger.Log("event", "holds_not_saved", "place", place, "err", err)
			continue
		}
		saved++
	}
	if saved < k.store.Places() {
		return false
	}
	k.saved, k.savedAt = string(text), next
	_ = k.logger.Log("event", "holds_saved", "holds", len(records), "offset", next)
	return true
}
