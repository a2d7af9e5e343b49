package gateway

// This file defines how the parts of prompts that are held are kept on the store, and how operators
// see and release them.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/quarantine"
)

const (
	// keepInterval is the time between two checks of whether the holds must be loaded or saved.
	keepInterval = 200 * time.Millisecond
	// keepTimeout bounds one call to load or save the holds.
	keepTimeout = 500 * time.Millisecond
	// keepFailureDelay is the pause after a failed load or save.
	keepFailureDelay = time.Second
	// maxSavedCrashes is far more than the crashes that a part is held for.
	maxSavedCrashes = 1 << 20
)

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
		err := json.Unmarshal(r.Value, &saved)
		if err == nil && (r.Key == "" || !utf8.ValidString(r.Key) || saved.SinceUnixMS <= 0 || saved.Crashes <= 0 || saved.Crashes > maxSavedCrashes) {
			err = fmt.Errorf("part %.64q: since_unix_ms: %d, crashes: %d: expected a part in UTF-8 and numbers above zero", r.Key, saved.SinceUnixMS, saved.Crashes)
		}
		if err != nil {
			_ = logger.Log("event", "hold_unreadable", "part", r.Key, "err", fmt.Sprintf("%.256v", err))
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
	// The following are used by the keeper's goroutine only.
	saved   []quarantine.Hold // as they were last saved or loaded, in the order of their parts
	savedAt feed.Position
	known   bool // saved is what the store has, unless it has lost it
	loads   int  // calls of load
}

// run loads and saves the holds until ctx is done.
func (k *holdKeeper) run(ctx context.Context) {
	for wait := time.Duration(0); sleepFor(ctx, wait); {
		wait = keepInterval
		if !k.step(ctx) {
			wait = keepFailureDelay
		}
	}
}

// sleepFor waits for a duration. It returns false if ctx is done first.
func sleepFor(ctx context.Context, d time.Duration) bool { return sleepUntil(ctx, time.Now().Add(d)) }

// step loads or saves the holds if that is due. It reports false after a failure.
func (k *holdKeeper) step(ctx context.Context) bool {
	if !k.complete.Load() && k.peerIsComplete() {
		k.complete.Store(true)
	}
	leads := k.isLeader()
	if (leads || !k.complete.Load()) && !k.known && !k.load(ctx) {
		return false
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

// load adopts the holds from one place, another with each call. It reports false if the place
// cannot be read.
func (k *holdKeeper) load(ctx context.Context) bool {
	place := k.loads % k.store.Places()
	k.loads++
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	page, err := k.store.Load(ctx, place)
	if err != nil {
		_ = k.logger.Log("event", "holds_unread", "place", place, "err", err)
		return false
	}
	holds := parseHolds(page.Records, k.logger)
	k.saved, k.savedAt, k.known = holds, page.Next, true
	k.gateway.ApplyHolds(k.register.Restore(k.fleetTime(), holds))
	k.complete.Store(true)
	if len(holds) > 0 {
		_ = k.logger.Log("event", "holds_loaded", "holds", len(holds), "place", place, "offset", page.Next)
	}
	return true
}

// save saves the holds at every place if they have changed, or the store is in a new era and
// may have lost them. It reports false after a failure.
func (k *holdKeeper) save(ctx context.Context) bool {
	holds := k.register.Holds(k.fleetTime())
	next := feed.Position{Era: max(k.storeEra(), k.savedAt.Era), Offset: k.savedAt.Offset}
	same := slices.EqualFunc(holds, k.saved, func(a, b quarantine.Hold) bool { return a.Part == b.Part && a.Crashes == b.Crashes })
	if same && (next.Era == k.savedAt.Era || len(holds) == 0) {
		return true
	}
	records, err := holdRecords(holds)
	if err != nil {
		_ = k.logger.Log("event", "holds_not_saved", "err", err)
		return false
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
	k.saved, k.savedAt = holds, next
	_ = k.logger.Log("event", "holds_saved", "holds", len(records), "offset", next)
	return true
}

// operatorHold is a hold as operators see it.
type operatorHold struct {
	Part    string    `json:"part"`
	Since   time.Time `json:"since"`
	Crashes int       `json:"crashes"`
}

// HoldsHandler returns the handler for operators: GET /holds lists the parts of prompts that are
// held back, and DELETE /holds/PART releases one on all gateways.
func (g *Gateway) HoldsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /holds", func(w http.ResponseWriter, _ *http.Request) {
		list := []operatorHold{}
		for _, h := range g.deps.Quarantine.Holds(g.deps.FleetTime()) {
			list = append(list, operatorHold{Part: string(h.Part), Since: h.Since.UTC(), Crashes: h.Crashes})
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(list); err != nil {
			_ = g.deps.Logger.Log("event", "holds_not_listed", "err", err)
		}
	})
	mux.HandleFunc("DELETE /holds/{part}", func(w http.ResponseWriter, r *http.Request) {
		part := id.PromptPart(r.PathValue("part"))
		changes := g.deps.Quarantine.Release(g.deps.FleetTime(), part)
		if len(changes) == 0 {
			http.Error(w, fmt.Sprintf("part %q is not held", string(part)), http.StatusNotFound)
			return
		}
		g.ApplyHolds(changes)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
