package logbook

// This file defines Checkpointer, which appends snapshots of the state to the log, and
// the restoring of a state from such a snapshot. Checkpoints are far more frequent
// than the log's retention requires, so the log always holds one.
//
// A checkpoint holds the state after all records up to a given offset. Every process
// computes the same state for an offset, so checkpoints that several processes write
// at once do no harm: the first that reaches further is accepted, the others are
// ignored.

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
	checkpointCheckInterval = time.Second
	checkpointTimeout       = 30 * time.Second

	maxCheckpointBytes = 24 << 20
)

// CheckpointConfig configures when checkpoints are written.
type CheckpointConfig struct {
	Interval id.Offset     // appends between two checkpoints; zero: no checkpoints
	MaxDelay time.Duration // longest random delay before a checkpoint is written
}

// Due reports whether a checkpoint is due for a state at an offset, given the offset
// of the newest checkpoint.
func (c CheckpointConfig) Due(offset, newest id.Offset) bool {
	return c.Interval > 0 && offset >= newest+c.Interval
}

// Checkpointer appends checkpoints to the log when they are due.
type Checkpointer struct {
	cfg    CheckpointConfig
	state  *State
	writer *Writer
	random *rand.Rand
	logger log.Logger
	counts metrics.Registry
}

// NewCheckpointer returns a checkpointer for the state s that appends with w. Run
// starts it.
func NewCheckpointer(cfg CheckpointConfig, s *State, w *Writer, random *rand.Rand, logger log.Logger, counts metrics.Registry) *Checkpointer {
	return &Checkpointer{cfg: cfg, state: s, writer: w, random: random, logger: logger, counts: counts}
}

// Run writes checkpoints until ctx is done. Because of the random delay one process
// usually writes the checkpoint, and the others then find that it is no longer due.
func (c *Checkpointer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.cfg.Due(c.state.Offset(), c.state.CheckpointOffset()) {
			sleep(ctx, time.Duration(c.random.Int64N(int64(c.cfg.MaxDelay)+1)))
			if c.cfg.Due(c.state.Offset(), c.state.CheckpointOffset()) {
				c.write(ctx, time.Now())
			}
		}
		sleep(ctx, checkpointCheckInterval)
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

// report logs and counts the result of writing a checkpoint.
func (c *Checkpointer) report(result string, snapshot *ragwortv1.State, size int) {
	metrics.GetOrRegisterCounter("journal_checkpoint_"+result, c.counts).Inc(1)
	_ = c.logger.Log("event", "checkpoint", "result", result, "up_to", snapshot.GetOffset(), "bytes", size)
}

// restoreCheckpoint restores the state from the furthest-reaching checkpoint that the
// log still keeps. It returns trimmed if there is none, or if Restore rejects its state.
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

// findCheckpoint returns the state of the furthest-reaching checkpoint among the
// records from offset first on, or nil. The log keeps all records after that state's
// offset.
func findCheckpoint(ctx context.Context, l hosting.Log, first id.Offset) (*ragwortv1.State, error) {
	var best *ragwortv1.State
	for after := first - 1; ; {
		page, err := l.Read(ctx, after, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			after = r.Offset
			best = furthestCheckpoint(best, r.Payload, first)
		}
		if after >= page.NewestOffset || len(page.Records) == 0 {
			return best, nil
		}
	}
}

// furthestCheckpoint returns the furthest-reaching state among best and the
// checkpoints in payload. It skips states that end before the record at first-1,
// since the log no longer keeps all records after them.
func furthestCheckpoint(best *ragwortv1.State, payload []byte, first id.Offset) *ragwortv1.State {
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
