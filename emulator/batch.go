package emulator

// This file defines Batch, a model engine that processes requests in batches, as a state
// machine: time is an argument, and nothing is random (docs/design/emulator.md).

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// BatchConfig describes a model engine.
type BatchConfig struct {
	Slots              int       `json:"slots"`           // most requests in the batch
	Queue              int       `json:"queue"`           // most requests that wait for a slot
	KVCacheTokens      id.Tokens `json:"kv_cache_tokens"` // memory for running requests and cached parts
	StepTime           Duration  `json:"step_time"`       // of a step with an empty batch
	SlotTime           Duration  `json:"slot_time"`       // by which each request in the batch lengthens a step
	ContextTime        Duration  `json:"context_time"`    // by which each 1000 tokens that the batch has in memory lengthen a step
	PrefillTokensPerMS float64   `json:"prefill_tokens_per_ms"`
	PairTime           Duration  `json:"pair_time"`    // to relate a million pairs of a token that is read and one before it
	ChunkTokens        id.Tokens `json:"chunk_tokens"` // most prompt tokens that a step reads
	EventTokens        id.Tokens `json:"event_tokens"` // in an event of a stream but the first, which has one
	AnswerDelay        Duration  `json:"answer_delay"` // of the events of a stream, beside the steps
}

// scaled returns the configuration of an engine with another speed.
func (c BatchConfig) scaled(speed float64) BatchConfig {
	for _, d := range []*Duration{&c.StepTime, &c.SlotTime, &c.ContextTime, &c.PairTime} {
		d.Duration = time.Duration(float64(d.Duration) / speed)
	}
	c.PrefillTokensPerMS *= speed
	return c
}

// stepShare returns by how much a request lengthens the present step.
func (c *BatchConfig) stepShare(w *Work) time.Duration {
	chunk, context := float64(w.chunk), float64(w.read+w.made)
	return c.SlotTime.Duration + time.Duration(chunk/c.PrefillTokensPerMS*float64(time.Millisecond)+
		chunk*(float64(w.read)+chunk/2)/1e6*float64(c.PairTime.Duration)+context/1e3*float64(c.ContextTime.Duration))
}

// Work is a request at a Batch.
type Work struct {
	Model   id.Model
	Parts   []pool.PromptPart // in order; the last is private
	Output  id.Tokens         // that the answer has
	Urgency int               // 0 is the most urgent

	// Cost is the time that the engine has spent on the request so far. Of the time of a step
	// that no request causes alone, each in the batch has an equal share.
	Cost        time.Duration
	Preemptions int // how often it has lost its place in the batch

	arrival  int       // order among all requests of the engine
	prompt   id.Tokens // of all parts
	target   id.Tokens // to be read before the next token: the prompt, and what was made before a preemption
	read     id.Tokens // of target
	chunk    id.Tokens // that the present step reads
	inStep   bool      // it takes part in the present step
	resident int       // parts at the beginning of the prompt that are in the cache and kept there
	held     id.Tokens // memory that only this request uses
	made     id.Tokens // of the answer
	sent     id.Tokens // of the answer, in events
}

// Event is what a request has got at the end of a step.
type Event struct {
	Work *Work
	Last bool // the answer is complete
}

// BatchStats counts what an engine has done.
type BatchStats struct {
	Busy        time.Duration // in steps
	SlotTime    time.Duration // in steps, for each request in the batch
	ReadTokens  id.Tokens     // of prompts
	HitTokens   id.Tokens     // of prompts that were found in the cache
	Preemptions int
}

// add adds what another engine has done.
func (s *BatchStats) add(o BatchStats) {
	s.Busy += o.Busy
	s.SlotTime += o.SlotTime
	s.ReadTokens += o.ReadTokens
	s.HitTokens += o.HitTokens
	s.Preemptions += o.Preemptions
}

// subtract leaves what was done since o was taken.
func (s *BatchStats) subtract(o BatchStats) {
	s.Busy -= o.Busy
	s.SlotTime -= o.SlotTime
	s.ReadTokens -= o.ReadTokens
	s.HitTokens -= o.HitTokens
	s.Preemptions -= o.Preemptions
}

// Batch is a model engine. In each step, every request whose prompt is read gets a token, and of the
// other prompts a chunk is read, in order of admission. The first token comes with the last chunk, and
// is an event of its own.
type Batch struct {
	cfg     BatchConfig
	waiting []*Work // the next one first
	running []*Work // in order of admission
	memory  *partCache
	order   int
	stepEnd time.Time // of the present step; zero: idle
	stats   BatchStats
}

// NewBatch returns an idle engine with an empty cache.
func NewBatch(cfg BatchConfig) *Batch { return &Batch{cfg: cfg, memory: newPartCache()} }

// Stats returns what the engine has done so far.
func (b *Batch) Stats() BatchStats { return b.stats }

// Running returns how many requests are in the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns how many requests are not in the batch.
func (b *Batch) Waiting() int { return len(b.waiting) }

// StepEnd returns when the present step ends, or false if the engine is idle.
func (b *Batch) StepEnd() (end time.Time, busy bool) { return b.stepEnd, !b.stepEnd.IsZero() }

// Submit adds a request. It returns false if the engine refuses it, since the queue is full or
// the request is larger than the memory.
func (b *Batch) Submit(now time.Time, w *Work) bool {
	w.prompt = 0
	for _, part := range w.Parts {
		w.prompt += part.Tokens
	}
	switch freeSlots := b.cfg.Slots - len(b.running); {
	case w.prompt+w.Output > b.cfg.KVCacheTokens, len(b.waiting) >= freeSlots+b.cfg.Queue:
		return false
	}
	b.order++
	w.arrival, w.target = b.order, w.prompt
	b.enqueue(w)
	if b.stepEnd.IsZero() {
		b.beginStep(now)
	}
	return true
}

// enqueue adds a request to those that wait: by urgency, then by arrival.
func (b *Batch) enqueue(w *Work) {
	at, _ := slices.BinarySearchFunc(b.waiting, w, func(x, w *Work) int {
		return cmp.Or(cmp.Compare(x.Urgency, w.Urgency), cmp.Compare(x.arrival, w.arrival))
	})
	b.waiting = slices.Insert(b.waiting, at, w)
}

// Cancel drops a request whose caller has left. The present step is not shortened.
func (b *Batch) Cancel(w *Work) {
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return
	}
	b.leave(w)
}

// Step ends the present step, begins the next one, and returns what requests have got by the
// one that ended.
func (b *Batch) Step(now time.Time) []Event {
	var events []Event
	for _, w := range slices.Clone(b.running) {
		if !w.inStep || !b.advance(w) {
			continue
		}
		w.made++
		switch last := w.made >= w.Output; {
		case last:
			events = append(events, Event{w, true})
			b.leave(w)
			continue
		case w.made == 1, w.made-w.sent >= b.cfg.EventTokens:
			w.sent = w.made
			events = append(events, Event{w, false})
		}
		w.held++
		b.memory.used++
		if b.memory.used > b.cfg.KVCacheTokens && !b.memory.evict() {
			b.preempt(b.newestOfLeastUrgent())
		}
	}
	b.beginStep(now)
	return events
}

// advance reads the chunk of the present step. It reports whether the request gets a token.
func (b *Batch) advance(w *Work) bool {
	w.inStep = false
	w.read += w.chunk
	b.stats.ReadTokens += w.chunk
	end := id.Tokens(0)
	for i, part := range w.Parts {
		end += part.Tokens
		if i == w.resident && end <= w.read {
			w.resident++
			w.held -= part.Tokens
			b.memory.used -= part.Tokens
			b.memory.keep(partKey{w.Model, part.ID}, part.Tokens)
		}
	}
	return w.read == w.target
}

// beginStep admits requests and begins a step with those in the batch, if there are any.
func (b *Batch) beginStep(now time.Time) {
	for len(b.waiting) > 0 && b.admit(b.waiting[0]) {
	}
	b.stepEnd = time.Time{}
	if len(b.running) == 0 {
		return
	}
	duration := b.cfg.StepTime.Duration
	share, unread := duration/time.Duration(len(b.running)), b.cfg.ChunkTokens
	for _, w := range b.running {
		w.inStep, w.chunk = true, min(w.target-w.read, unread)
		unread -= w.chunk
		own := b.cfg.stepShare(w)
		w.Cost += share + own
		duration += own
	}
	b.stepEnd = now.Add(duration)
	b.stats.Busy += duration
	b.stats.SlotTime += duration * time.Duration(len(b.running))
}

// admit moves the first of those that wait into the batch, in place of less urgent ones if there
// is no slot or memory for it otherwise. It returns false if it has to wait.
func (b *Batch) admit(w *Work) bool {
	for len(b.running) >= b.cfg.Slots {
		if !b.preemptFor(w) {
			return false
		}
	}
	cached := id.Tokens(0)
	for _, part := range w.Parts {
		if !b.memory.use(partKey{w.Model, part.ID}) {
			break
		}
		w.resident++
		cached += part.Tokens
	}
	w.held = w.target - cached
	b.memory.used += w.held
	for b.memory.used > b.cfg.KVCacheTokens {
		if !b.memory.evict() && !b.preemptFor(w) {
			b.release(w)
			return false
		}
	}
	w.read = min(cached, w.target-1) // the first token needs the last of the prompt
	b.stats.HitTokens += w.read
	b.waiting = slices.DeleteFunc(b.waiting, func(x *Work) bool { return x == w })
	b.running = append(b.running, w)
	return true
}

// preemptFor preempts the newest of the least urgent requests, if that is less urgent than w.
func (b *Batch) preemptFor(w *Work) bool {
	victim := b.newestOfLeastUrgent()
	if victim == nil || victim.Urgency <= w.Urgency {
		return false
	}
	b.preempt(victim)
	return true
}

// newestOfLeastUrgent returns the request that is preempted first, or nil if none is running.
func (b *Batch) newestOfLeastUrgent() *Work {
	var victim *Work
	for _, w := range b.running {
		if victim == nil || w.Urgency >= victim.Urgency {
			victim = w
		}
	}
	return victim
}

// preempt makes a request wait again. What it has got is read in again with its prompt.
func (b *Batch) preempt(w *Work) {
	b.leave(w)
	w.Preemptions++
	b.stats.Preemptions++
	w.target = w.prompt + w.made
	b.enqueue(w)
}

// leave takes a request out of the batch.
func (b *Batch) leave(w *Work) {
	if i := slices.Index(b.running, w); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.release(w)
	}
}

// release gives back the memory of a request. Its parts stay in the cache until they yield, the
// last one first.
func (b *Batch) release(w *Work) {
	for ; w.resident > 0; w.resident-- {
		b.memory.unuse(partKey{w.Model, w.Parts[w.resident-1].ID})
	}
	b.memory.used -= w.held
	w.held, w.inStep = 0, false
}
