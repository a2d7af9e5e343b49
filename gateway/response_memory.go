package gateway

// This file defines responseMemory, the bounded part of a process's memory for what upstreams have
// sent and callers have not got yet: heads, responses that are buffered until they are complete,
// and events. Upstreams that send bytes without end must neither end the process nor take the memory
// that the responses of others need.

import (
	"errors"
	"io"
	"sync"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// bufferChunkBytes is the size of the pieces in which a response is read. It exceeds most
	// responses.
	bufferChunkBytes = 32 << 10
	// defaultResponseMemory limits the responses of a process without a memory limit.
	defaultResponseMemory = 256 << 20
	// responseMemoryFraction is the part of the process's memory for responses.
	responseMemoryFraction = 0.15
)

// errMemoryTaken means that the responses of an upstream have all the memory that they may have.
var errMemoryTaken = errors.New("the responses of the upstream take all the memory for them")

// errResponseTooLarge means that a response exceeds maxBufferedResponse.
var errResponseTooLarge = errors.New("the response is too large")

// responseMemory counts the memory of all responses. The responses of one upstream may together have
// as much as is free: n upstreams that ask for more than there is leave one part in n+1 to the
// others. It is safe for concurrent use.
type responseMemory struct {
	limit int64 // bytes

	mu         sync.Mutex
	used       int64 // bytes
	byUpstream map[id.Upstream]int64
}

// newResponseMemory returns the memory for responses of a process with the given memory in
// megabytes; zero: not limited.
func newResponseMemory(memoryMB float64) *responseMemory {
	limit := int64(defaultResponseMemory)
	if memoryMB > 0 {
		limit = int64(memoryMB * responseMemoryFraction * (1 << 20))
	}
	return &responseMemory{limit: limit, byUpstream: make(map[id.Upstream]int64)}
}

// reserve reserves memory for a response of an upstream. It reports false if there is none.
func (m *responseMemory) reserve(u id.Upstream, bytes int64) bool {
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
func (m *responseMemory) release(u id.Upstream, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
	if m.byUpstream[u] -= bytes; m.byUpstream[u] == 0 {
		delete(m.byUpstream, u)
	}
}

// memoryShare is the memory that one response has reserved. It must be released. It is not safe for
// concurrent use.
type memoryShare struct {
	memory   *responseMemory
	upstream id.Upstream
	bytes    int64
}

func (m *responseMemory) share(u id.Upstream) *memoryShare {
	return &memoryShare{memory: m, upstream: u}
}

// growTo reserves what the share lacks of a size in bytes. The error is errMemoryTaken.
func (s *memoryShare) growTo(bytes int64) error {
	if bytes <= s.bytes {
		return nil
	}
	if !s.memory.reserve(s.upstream, bytes-s.bytes) {
		return errMemoryTaken
	}
	s.bytes = bytes
	return nil
}

// release gives everything back.
func (s *memoryShare) release() {
	if s.bytes > 0 {
		s.memory.release(s.upstream, s.bytes)
		s.bytes = 0
	}
}

// bufferedResponse is the body of a response in chunks. It must be released.
type bufferedResponse struct {
	share  *memoryShare
	chunks [][]byte
	length int // bytes in all chunks
}

// read reads the body of an upstream's response to its end. The error is errResponseTooLarge,
// errMemoryTaken or that of the body; the caller releases what was read in any case.
func (m *responseMemory) read(u id.Upstream, body io.Reader) (*bufferedResponse, error) {
	r := &bufferedResponse{share: m.share(u)}
	for {
		if err := r.share.growTo(int64(len(r.chunks)+1) * bufferChunkBytes); err != nil {
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
		case r.length > maxBufferedResponse:
			return r, errResponseTooLarge
		}
	}
}

// readChunk reads until a chunk is full or the body returns an error, which is io.EOF at the
// end of the body. Unlike io.ReadFull it does not turn an end after some bytes into the error
// of a body that was cut off.
func readChunk(body io.Reader) ([]byte, error) {
	chunk := make([]byte, bufferChunkBytes)
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

// release gives the memory back.
func (r *bufferedResponse) release() {
	r.share.release()
	r.chunks = nil
}

// WriteTo implements io.WriterTo.
func (r *bufferedResponse) WriteTo(w io.Writer) (n int64, err error) {
	for _, chunk := range r.chunks {
		written, err := w.Write(chunk)
		n += int64(written)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
