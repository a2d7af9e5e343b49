package standin

// This file defines Engine, a model engine that batches continuously.
//
// Every running answer gets a token a gap; the gap grows once more answers run
// than the engine batches well. A new engine is cold: it bears few answers, and
// falls over under many more. It warms as it generates tokens.

import (
	"net/http"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
)

// EngineConfig is what an engine is like.
type EngineConfig struct {
	Models     []id.Model
	Batch      int           // answers it runs at full speed
	Gap        time.Duration // between tokens at full speed
	Prefill    time.Duration // for each thousand tokens of prompt
	ColdBatch  int           // answers it bears when cold
	WarmTokens int           // tokens it generates until it is warm
	Cache      int           // prompts whose prefix it keeps
	Fencing    bool          // refuses orders that carry an old term
	RestartFor time.Duration // out of service after it fell over
}

// DefaultEngineConfig returns an engine that is quick enough for tests.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Batch: 16, Gap: 10 * time.Millisecond, Prefill: 20 * time.Millisecond,
		ColdBatch: 4, WarmTokens: 2000, Cache: 64, RestartFor: 3 * time.Second,
	}
}

// EngineFaults are the ways in which an engine misbehaves.
type EngineFaults struct {
	Slowness  float64 `json:"slowness"`  // gaps are this many times longer; zero: once
	CutAfter  int     `json:"cut_after"` // the next answer is cut after this many tokens
	CutNext   int     `json:"cut_next"`  // how many answers are cut
	EmptyNext int     `json:"empty_next"`
	CrossNext int     `json:"cross_next"` // answers that carry another request's id
	LateMS    int     `json:"late_ms"`    // before the first token
}

// Engine is a model engine.
type Engine struct {
	cfg EngineConfig

	mu      sync.Mutex
	faults  EngineFaults
	running int
	warmth  float64 // 0 to 1
	down    time.Time
	crash   chan struct{} // closed when the engine falls over
	free    chan struct{} // closed when an answer ends
	cache   []uint64      // prefixes, least recently used first

	seen EngineStats
	term id.Term // highest fencing number seen
	runs []Run
}

// maxRuns bounds the runs that an engine remembers.
const maxRuns = 200_000

// Run is one answer that an engine worked on.
type Run struct {
	Request  id.Request `json:"request_id"`
	Began    time.Time  `json:"began"`
	Ended    time.Time  `json:"ended"`
	Priority int        `json:"priority"`
	Tokens   int        `json:"tokens"` // generated
	Whole    bool       `json:"whole"`  // not cut, and not left by its caller
}

// EngineStats counts what an engine did.
type EngineStats struct {
	Requests  int64 `json:"requests"`
	Tokens    int64 `json:"tokens"`
	Cancelled int64 `json:"cancelled"`
	Orders    int64 `json:"orders"` // taken
	Falls     int64 `json:"falls"`
	MaxBatch  int   `json:"max_batch"`
}

// NewEngine returns a cold engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, crash: make(chan struct{}), free: make(chan struct{})}
}

// Handler serves the engine's interface, and its admin pages.
func (g *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.complete)
	mux.HandleFunc("POST /v1/completions", g.complete)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if g.isDown(time.Now()) {
			http.Error(w, "restarting", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/orders", g.order)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { encode(w, g.Stats()) })
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { encode(w, g.Runs()) })
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFaults
		if decode(w, r, &f) {
			g.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /admin/crash", func(http.ResponseWriter, *http.Request) { g.Crash(time.Now()) })
	mux.HandleFunc("POST /admin/chill", func(http.ResponseWriter, *http.Request) { g.Chill() })
	return mux
}

// order takes an order, unless the engine checks fencing numbers and has seen a
// higher one.
func (g *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o hosting.Order
	if !decode(w, r, &o) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.Fencing && o.FencingNumber < g.term {
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	g.term = max(g.term, o.FencingNumber)
	g.seen.Orders++
	encode(w, struct{}{})
}

// SetFaults replaces the faults in force.
func (g *Engine) SetFaults(f EngineFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Crash cuts every answer and restarts the engine cold.
func (g *Engine) Crash(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fall(now)
}

// Chill makes the engine cold without a sign.
func (g *Engine) Chill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmth = 0
}

// Warm makes the engine warm.
func (g *Engine) Warm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmth = 1
}

// fall cuts every answer. The caller holds the lock.
func (g *Engine) fall(now time.Time) {
	g.seen.Falls++
	g.warmth = 0
	g.down = now.Add(g.cfg.RestartFor)
	close(g.crash)
	g.crash = make(chan struct{})
}

func (g *Engine) isDown(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.down)
}

// Stats returns what the engine did so far.
func (g *Engine) Stats() EngineStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen
}

// Runs returns every answer that has ended, in the order of their ends.
func (g *Engine) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run{}, g.runs...)
}

// note remembers a run.
func (g *Engine) note(r Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.Whole {
		g.seen.Cancelled++
	}
	if len(g.runs) < maxRuns {
		g.runs = append(g.runs, r)
	}
}

// bears returns how many answers the engine runs well. The caller holds the lock.
func (g *Engine) bears() float64 {
	return float64(g.cfg.ColdBatch) + float64(g.cfg.Batch-g.cfg.ColdBatch)*g.warmth
}

// overload is the factor beyond what it bears at which an engine falls over.
const overload = 2.5

// begin admits an answer to the batch; it reports false if the engine is down.
func (g *Engine) begin(now time.Time) (crash <-chan struct{}, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.down) {
		return nil, false
	}
	g.running++
	g.seen.Requests++
	g.seen.MaxBatch = max(g.seen.MaxBatch, g.running)
	crash = g.crash
	if float64(g.running) > overload*g.bears() {
		g.fall(now)
	}
	return crash, true
}

func (g *Engine) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}

// gap returns the time to the next token and counts that token.
func (g *Engine) gap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen.Tokens++
	g.warmth = min(1, g.warmth+1/float64(max(1, g.cfg.WarmTokens)))
	d := g.cfg.Gap
	if over := float64(g.running) / g.bears(); over > 1 {
		d = time.Duration(float64(d) * over)
	}
	return g.slowed(d)
}

// prefill returns the time to the first token, shorter if the prefix is cached.
func (g *Engine) prefill(prompt int, prefix uint64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := time.Duration(float64(g.cfg.Prefill) * float64(prompt) / 1000)
	if g.cached(prefix) {
		d /= 10
	}
	return g.slowed(d) + time.Duration(g.faults.LateMS)*time.Millisecond
}

func (g *Engine) slowed(d time.Duration) time.Duration {
	if g.faults.Slowness > 0 {
		d = time.Duration(float64(d) * g.faults.Slowness)
	}
	return d
}

// cached reports whether the prefix is kept, and keeps it from now on. The caller
// holds the lock.
func (g *Engine) cached(prefix uint64) bool {
	found := false
	for i, p := range g.cache {
		if p == prefix {
			g.cache = append(g.cache[:i], g.cache[i+1:]...)
			found = true
			break
		}
	}
	g.cache = append(g.cache, prefix)
	if len(g.cache) > g.cfg.Cache {
		g.cache = g.cache[1:]
	}
	return found
}
