package standin

// This file defines Engine, a stand-in for a model engine with continuous batching.
//
// Every running answer gets one token in each token gap; the gap grows once more answers run
// than the engine can batch at full speed. A new engine is cold: it runs few answers at full
// speed, and crashes under many more. It warms up as it generates tokens.

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
)

// EngineConfig describes the speed and capacity of an engine.
type EngineConfig struct {
	Models               []id.Model
	Batch                int           // concurrent answers at full speed when warm
	TokenGap             time.Duration // time between the tokens of an answer at full speed
	PrefillPer1000Tokens time.Duration // prefill time for each thousand prompt tokens
	ColdBatch            int           // concurrent answers at full speed when cold
	WarmUpTokens         int           // tokens that a cold engine generates until it is warm
	PrefixCacheSize      int           // maximum number of cached prompt prefixes
	CheckFencing         bool          // refuse orders with a stale fencing number
	RestartDuration      time.Duration // time out of service after a crash
}

// DefaultEngineConfig returns the configuration of an engine that is fast enough for tests.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Batch: 16, TokenGap: 10 * time.Millisecond, PrefillPer1000Tokens: 20 * time.Millisecond,
		ColdBatch: 4, WarmUpTokens: 2000, PrefixCacheSize: 64, RestartDuration: 3 * time.Second,
	}
}

// EngineFaults selects the faults that an Engine injects. The zero value injects none.
type EngineFaults struct {
	SlowFactor        float64 `json:"slowness"`   // factor on prefill time and token gaps; zero: 1
	CutAfterTokens    int     `json:"cut_after"`  // tokens after which an answer of CutNext is cut off
	CutNext           int     `json:"cut_next"`   // number of coming answers that are cut off
	EmptyNext         int     `json:"empty_next"` // number of coming answers without tokens
	WrongIDNext       int     `json:"cross_next"` // number of coming answers with the ID of another request
	FirstTokenDelayMS int     `json:"late_ms"`    // additional delay of the first token
	RateLimit         string  `json:"rate_limit"` // requests a second that every answer names as the engine's limit; empty: none
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	cfg EngineConfig

	mu          sync.Mutex
	faults      EngineFaults
	running     int     // answers in the batch
	warmth      float64 // 0: cold, 1: warm
	downUntil   time.Time
	crashed     chan struct{} // closed when the engine crashes
	free        chan struct{} // unused
	prefixCache []uint64      // hashes of prompt prefixes, least recently used first

	stats          EngineStats
	highestFencing id.Term // highest fencing number accepted
	runs           []Run
}

// maxRuns bounds the memory of an engine's Runs; later ones are not recorded.
const maxRuns = 200_000

// Run records an answer that an engine has generated in whole or in part.
type Run struct {
	Request   id.Request `json:"request_id"`
	Began     time.Time  `json:"began"`
	Ended     time.Time  `json:"ended"`
	Priority  int        `json:"priority"`
	Tokens    int        `json:"tokens"` // generated
	Completed bool       `json:"whole"`  // neither cut off nor cancelled by its caller
}

// EngineStats counts what an engine has done since it was created.
type EngineStats struct {
	Requests       int64 `json:"requests"`  // requests admitted to the batch
	Tokens         int64 `json:"tokens"`    // tokens generated
	Cancelled      int64 `json:"cancelled"` // answers cut off or cancelled by their callers
	AcceptedOrders int64 `json:"orders"`
	Crashes        int64 `json:"falls"`     // crashes from overload and by Crash
	MaxBatch       int   `json:"max_batch"` // highest number of concurrent answers
}

// NewEngine returns a cold engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, crashed: make(chan struct{}), free: make(chan struct{})}
}

// Handler serves the engine's interface, and admin pages to inject faults and to inspect
// what the engine has done.
func (g *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.handleCompletion)
	mux.HandleFunc("POST /v1/completions", g.handleCompletion)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if g.isDown(time.Now()) {
			http.Error(w, "restarting", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/orders", g.handleOrder)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Stats()) })
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Runs()) })
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFaults
		if decodeJSON(w, r, &f) {
			g.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /admin/crash", func(http.ResponseWriter, *http.Request) { g.Crash(time.Now()) })
	mux.HandleFunc("POST /admin/chill", func(http.ResponseWriter, *http.Request) { g.MakeCold() })
	return mux
}

// handleOrder accepts an order, unless the engine checks fencing numbers and has accepted a
// higher one.
func (g *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o hosting.Order
	if !decodeJSON(w, r, &o) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.CheckFencing && o.FencingNumber < g.highestFencing {
		http.Error(w, fmt.Sprintf("stale fencing number: highest accepted is %d", g.highestFencing), http.StatusConflict)
		return
	}
	g.highestFencing = max(g.highestFencing, o.FencingNumber)
	g.stats.AcceptedOrders++
	writeJSON(w, struct{}{})
}

// SetFaults replaces the faults in force.
func (g *Engine) SetFaults(f EngineFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Crash cuts off every running answer and restarts the engine, which is then cold.
func (g *Engine) Crash(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashLocked(now)
}

// MakeCold makes the engine cold without a restart, so that callers see neither a cut answer nor
// a refusal.
func (g *Engine) MakeCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmth = 0
}

// MakeWarm makes the engine warm at once.
func (g *Engine) MakeWarm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmth = 1
}

// crashLocked implements Crash. The caller holds the lock.
func (g *Engine) crashLocked(now time.Time) {
	g.stats.Crashes++
	g.warmth = 0
	g.downUntil = now.Add(g.cfg.RestartDuration)
	close(g.crashed)
	g.crashed = make(chan struct{})
}

func (g *Engine) isDown(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.downUntil)
}

// Stats returns the counts so far.
func (g *Engine) Stats() EngineStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// Runs returns the first maxRuns answers that have ended, in the order of their ends.
func (g *Engine) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run{}, g.runs...)
}

// recordRun adds a run to the records and to the counts.
func (g *Engine) recordRun(r Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.Completed {
		g.stats.Cancelled++
	}
	if len(g.runs) < maxRuns {
		g.runs = append(g.runs, r)
	}
}

// fullSpeedCapacity returns how many answers the engine runs concurrently at full speed. The
// caller holds the lock.
func (g *Engine) fullSpeedCapacity() float64 {
	return float64(g.cfg.ColdBatch) + float64(g.cfg.Batch-g.cfg.ColdBatch)*g.warmth
}

// crashFactor is the multiple of its full-speed capacity above which an engine crashes.
const crashFactor = 2.5

// startRequest admits an answer to the batch, which may crash the engine. It returns a channel
// that is closed at the next crash, also at one that this answer causes, and reports false if
// the engine is restarting.
func (g *Engine) startRequest(now time.Time) (crashed <-chan struct{}, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.downUntil) {
		return nil, false
	}
	g.running++
	g.stats.Requests++
	g.stats.MaxBatch = max(g.stats.MaxBatch, g.running)
	crashed = g.crashed
	if float64(g.running) > crashFactor*g.fullSpeedCapacity() {
		g.crashLocked(now)
	}
	return crashed, true
}

func (g *Engine) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}

// nextTokenDelay counts a token that was generated and returns the time to the next one.
func (g *Engine) nextTokenDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Tokens++
	g.warmth = min(1, g.warmth+1/float64(max(1, g.cfg.WarmUpTokens)))
	d := g.cfg.TokenGap
	if load := float64(g.running) / g.fullSpeedCapacity(); load > 1 {
		d = time.Duration(float64(d) * load)
	}
	return g.applySlowFactor(d)
}

// prefillTime returns the time to the first token. A cached prefix reduces the prefill to a
// tenth.
func (g *Engine) prefillTime(promptTokens int, prefix uint64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := time.Duration(float64(g.cfg.PrefillPer1000Tokens) * float64(promptTokens) / 1000)
	if g.touchPrefix(prefix) {
		d /= 10
	}
	return g.applySlowFactor(d) + time.Duration(g.faults.FirstTokenDelayMS)*time.Millisecond
}

// applySlowFactor multiplies a duration by SlowFactor. The caller holds the lock.
func (g *Engine) applySlowFactor(d time.Duration) time.Duration {
	if g.faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * g.faults.SlowFactor)
	}
	return d
}

// touchPrefix reports whether the prefix is cached, and makes it the most recently used one.
// The caller holds the lock.
func (g *Engine) touchPrefix(prefix uint64) bool {
	found := false
	for i, p := range g.prefixCache {
		if p == prefix {
			g.prefixCache = append(g.prefixCache[:i], g.prefixCache[i+1:]...)
			found = true
			break
		}
	}
	g.prefixCache = append(g.prefixCache, prefix)
	if len(g.prefixCache) > g.cfg.PrefixCacheSize {
		g.prefixCache = g.prefixCache[1:]
	}
	return found
}
