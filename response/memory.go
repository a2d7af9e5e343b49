// Package response bounds the memory of a process for what upstreams have sent and callers have not
// got yet: heads, responses that are buffered until they are complete, and events. Upstreams that
// send bytes without end must neither end the process nor take the memory that the responses of
// others need.
package response

import (
	"errors"
	"io"
	"slices"
	"sync"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// ChunkBytes is the size in bytes of the pieces in which a response is read. It exceeds most
	// responses.
	ChunkBytes = 32 << 10
	// defaultMemory limits the responses of a process without a memory limit.
	defaultMemory = 256 << 20
	// memoryFraction is the part of the process's memory for responses.
	memoryFraction = 0.15
	// MaxMemoryMB is the largest memory of a process, a petabyte.
	MaxMemoryMB = 1 << 30
)

// ErrMemoryTaken means that the responses of an upstream have all the memory that they may have.
var ErrMemoryTaken = errors.New("the responses of the upstream take all the memory for them")

// ErrTooLarge means that a response exceeds the size that the reader allows.
var ErrTooLarge = errors.New("the response is too large")

// Memory counts the memory of all responses. The responses of one upstream may together have
// as much as is free. n upstreams that ask for more than there is leave one part in n+1 to the others
// if they grow alike, and one in 2^n if they take what they can get one after the other and keep
// it. It is safe for concurrent use.
type Memory struct {
	limit int64 // bytes

	mu         sync.Mutex
	used       int64 // bytes
	byUpstream map[id.Upstream]int64
}

// NewMemory returns the memory for responses of a process with the given memory in
// megabytes; zero: not limited.
func NewMemory(memoryMB float64) *Memory {
	limit := int64(defaultMemory)
	if memoryMB > 0 {
		limit = int64(memoryMB * memoryFraction * (1 << 20))
	}
	return &Memory{limit: limit, byUpstream: make(map[id.Upstream]int64)}
}

// reserve reserves memory for a response of an upstream. It reports false if there is none.
func (m *Memory) reserve(u id.Upstream, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byUpstream[u]+bytes > m.limit-m.used-bytes {
		return false
	}
	m.used += bytes
	m.byUpstream[u] += bytes
	return true
}

// release gives back what was reserved for a response of an upstream.
func (m *Memory) release(u id.Upstream, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
	if m.byUpstream[u] -= bytes; m.byUpstream[u] == 0 {
		delete(m.byUpstream, u)
	}
}

// Share is the memory that one response has reserved. It must be released. It is not safe for
// concurrent use.
type Share struct {
	memory   *Memory
	upstream id.Upstream
	bytes    int64
}

// Share returns a share of a response of an upstream, which has reserved nothing yet.
func (m *Memory) Share(u id.Upstream) *Share {
	return &Share{memory: m, upstream: u}
}

// GrowTo reserves what the share lacks of a size in bytes. The error is ErrMemoryTaken.
func (s *Share) GrowTo(bytes int64) error {
	if bytes <= s.bytes {
		return nil
	}
	if !s.memory.reserve(s.upstream, bytes-s.bytes) {
		return ErrMemoryTaken
	}
	s.bytes = bytes
	return nil
}

// Release gives everything back.
func (s *Share) Release() {
	if s.bytes > 0 {
		s.memory.release(s.upstream, s.bytes)
		s.bytes = 0
	}
}

// Body is the body of a response in chunks. It must be released.
type Body struct {
	share  *Share
	chunks [][]byte
	length int // bytes in all chunks
}

// Bytes returns the whole body, as one piece.
func (r *Body) Bytes() []byte {
	if len(r.chunks) == 1 {
		return r.chunks[0]
	}
	return slices.Concat(r.chunks...)
}

// Len returns the size of the body in bytes.
func (r *Body) Len() int { return r.length }

// ReadBody reads the body of an upstream's response to its end. The error is ErrTooLarge if it exceeds
// a size in bytes, ErrMemoryTaken or that of the body; the caller releases what was read in any case.
func (m *Memory) ReadBody(u id.Upstream, body io.Reader, size int) (*Body, error) {
	r := &Body{share: m.Share(u)}
	for {
		if err := r.share.GrowTo(int64(len(r.chunks)+1) * ChunkBytes); err != nil {
			return r, err
		}
		chunk, err := readChunk(body)
		r.chunks = append(r.chunks, chunk)
		r.length += len(chunk)
		switch {
		case errors.Is(err, io.EOF):
			return r, nil
		case err != nil:
			return r, err
		case r.length > size:
			return r, ErrTooLarge
		}
	}
}

// readChunk reads until a chunk is full or the body returns an error, which is io.EOF at the
// end of the body. Unlike io.ReadFull it does not turn an end after some bytes into the error
// of a body that was cut off.
func readChunk(body io.Reader) ([]byte, error) {
	chunk := make([]byte, ChunkBytes)
	n := 0
	for n < len(chunk) {
		read, err := body.Read(chunk[n:])
		n += read
		if err != nil {
			return chunk[:n], err
		}
	}
	return chunk, nil
}

// Release gives the memory back.
func (r *Body) Release() {
	r.share.Release()
	r.chunks = nil
}

// WriteTo implements io.WriterTo.
func (r *Body) WriteTo(w io.Writer) (n int64, err error) {
	for _, chunk := range r.chunks {
		written, err := w.Write(chunk)
		n += int64(written)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
