package logbook

// This file defines Stream, which combines the parts that a process needs to follow
// one stream of the log.

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/hosting"
)

// Stream is the state of one stream of the log, with its follower, writer and
// checkpointer.
type Stream struct {
	State        *State
	Follower     *Follower
	Writer       *Writer
	Checkpointer *Checkpointer
}

// StreamConfig configures a Stream.
type StreamConfig struct {
	Writer     string // a name that was never used by another process or an earlier run of this one
	Checkpoint CheckpointConfig
}

// NewStream returns a stream that follows l. Run starts it.
func NewStream(cfg StreamConfig, l hosting.Log, random *rand.Rand, logger log.Logger, counts metrics.Registry) *Stream {
	s := NewState()
	w := NewWriter(l, s, cfg.Writer, logger, counts)
	return &Stream{
		State:        s,
		Follower:     NewFollower(l, s, logger, counts),
		Writer:       w,
		Checkpointer: NewCheckpointer(cfg.Checkpoint, s, w, random, logger, counts),
	}
}

// Run runs the follower, writer and checkpointer until ctx is done.
func (s *Stream) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){s.Follower.Run, s.Writer.Run, s.Checkpointer.Run} {
		wg.Go(func() { task(ctx) })
	}
	wg.Wait()
}
