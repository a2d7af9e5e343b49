package logbook

// This file defines Checkpointer, which keeps a snapshot of the state on the log
// well inside the time for which the log keeps its records, and the start from such
// a snapshot.
//
// A checkpoint holds the fold of all records up to a named offset. Whoever writes it
// writes the same state, so several at once do no harm: the fold takes the first that
// reaches further and ignores the others.

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	checkpointLook    = time.Second
	checkpointTimeout = 30 * time.Second

	maxCheckpointBytes = 24 << 20
)

// CheckpointConfig says when a checkpoint is due.
type CheckpointConfig struct {
	Interval id.Offset     // appends since the newest checkpoint; zero: never
	MaxDelay time.Duration // longest random delay before it is written
}

// Due reports whether a state at an offset needs a checkpoint.
func (c CheckpointConfig) Due(offset, newest id.Offset) bool {
	return c.Interval > 0 && offset >= newest+c.Interval
}

// Checkpointer writes checkpoints when they are due.
type Checkpointer struct {
	cfg    CheckpointConfig
	state  *State
	writer *Writer
	random *rand.Rand
	logger log.Logger
	counts metrics.Registry
}

// NewCheckpointer returns a checkpointer; Run starts it.
func NewCheckpointer(cfg CheckpointConfig, s *State, w *Writer, random *rand.Rand, logger log.Logger, counts metrics.Registry) *Checkpointer {
	return &Checkpointer{cfg: cfg, state: s, writer: w, random: random, logger: logger, counts: counts}
}

// Run writes checkpoints until ctx is done. The random delay lets one process
// write what the others then find done.
func (c *Checkpointer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.cfg.Due(c.state.Offset(), c.state.CheckpointOffset()) {
			sleep(ctx, time.Duration(c.random.Int64N(int64(c.cfg.MaxDelay)+1)))
			if c.cfg.Due(c.state.Offset(), c.state.CheckpointOffset()) {
				c.write(ctx, time.Now())
			}
		}
		sleep(ctx, checkpointLook)
	}
}

// write appends one checkpoint.
func (c *Checkpointer) write(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	snapshot := c.state.Snapshot()
	size := proto.Size(snapshot)
	metrics.GetOrRegisterGauge("journal_checkpoint_bytes", c.counts).Update(int64(size))
	if size > maxCheckpointBytes {
		c.report("too_large", snapshot, size)
		return
	}
	out, err := c.writer.Append(ctx, now, &ragwortv1.Record{Body: &ragwortv1.Record_CheckpointTaken{
		CheckpointTaken: &ragwortv1.CheckpointTaken{UpToOffset: snapshot.GetOffset(), State: snapshot},
	}})
	if err != nil {
		c.report("failed", snapshot, size)
		return
	}
	c.report(string(out.Result), snapshot, size)
}

func (c *Checkpointer) report(result string, snapshot *ragwortv1.State, size int) {
	metrics.GetOrRegisterCounter("journal_checkpoint_"+result, c.counts).Inc(1)
	_ = c.logger.Log("event", "checkpoint", "result", result, "up_to", snapshot.GetOffset(), "bytes", size)
}

// restoreCheckpoint restores the state from the checkpoint that reaches furthest
// among those the log still keeps. Without one it returns the error that the log
// is trimmed.
func restoreCheckpoint(ctx context.Context, l hosting.Log, s *State, trimmed *hosting.TrimmedError) error {
	best, err := findCheckpoint(ctx, l, trimmed.Oldest)
	if err != nil {
		return err
	}
	if best == nil || !s.Restore(best) {
		return trimmed
	}
	return nil
}

// findCheckpoint returns the state of the checkpoint that reaches furthest among
// the records from an offset on, or nil. The records after it are all kept.
func findCheckpoint(ctx context.Context, l hosting.Log, first id.Offset) (*ragwortv1.State, error) {
	var best *ragwortv1.State
	for after := first - 1; ; {
		page, err := l.Read(ctx, after, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			after = r.Offset
			best = further(best, r.Payload, first)
		}
		if after >= page.NewestOffset || len(page.Records) == 0 {
			return best, nil
		}
	}
}

// further returns the state in payload that reaches furthest, or best. A state
// that reaches less far than the oldest record kept is of no use.
func further(best *ragwortv1.State, payload []byte, first id.Offset) *ragwortv1.State {
	var batch ragwortv1.Batch
	if proto.Unmarshal(payload, &batch) != nil {
		return best
	}
	for _, r := range batch.GetRecords() {
		c := r.GetCheckpointTaken()
		if c == nil || c.GetState().GetOffset() != c.GetUpToOffset() || id.Offset(c.GetUpToOffset())+1 < first {
			continue
		}
		if best == nil || c.GetUpToOffset() > best.GetOffset() {
			best = c.GetState()
		}
	}
	return best
}
