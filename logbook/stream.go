package logbook

// This file defines Stream, one stream of the log as a process holds it.

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/hosting"
)

// Stream is the fold of one stream, with what reads it, appends to it and keeps
// its checkpoints.
type Stream struct {
	State        *State
	Follower     *Follower
	Writer       *Writer
	Checkpointer *Checkpointer
}

// StreamConfig says how a process holds a stream.
type StreamConfig struct {
	Writer     string // a name that no other process, nor an earlier run of this one, has used
	Checkpoint CheckpointConfig
}

// NewStream returns a stream; Run starts it.
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

// Run follows the stream until ctx is done.
func (s *Stream) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){s.Follower.Run, s.Writer.Run, s.Checkpointer.Run} {
		wg.Go(func() { task(ctx) })
	}
	wg.Wait()
}
