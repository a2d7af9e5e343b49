package gateway

// This file defines responseBuffers, which holds responses until they are complete. All of
// them together use a bounded part of the memory: upstreams that send bytes without end must
// not end the process.

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// bufferChunkBytes is the size of the pieces in which a response is read. It exceeds most
	// responses.
	bufferChunkBytes = 32 << 10
	// defaultBufferMemory limits the buffered responses of a process without a memory limit.
	defaultBufferMemory = 256 << 20
	// bufferMemoryFraction is the part of the process's memory for buffered responses.
	bufferMemoryFraction = 0.15
)

// errBuffersFull means that the responses being buffered take all the memory for them.
var errBuffersFull = errors.New("the memory for buffered responses is taken")

// errResponseTooLarge means that a response exceeds maxBufferedResponse.
var errResponseTooLarge = errors.New("the response is too large")

// responseBuffers counts the memory of all buffered responses. It is safe for concurrent use.
type responseBuffers struct {
	limit int64 // bytes
	used  atomic.Int64
}

// newResponseBuffers returns a counter for a process with the given memory in megabytes; zero:
// not limited.
func newResponseBuffers(memoryMB float64) *responseBuffers {
	if memoryMB <= 0 {
		return &responseBuffers{limit: defaultBufferMemory}
	}
	return &responseBuffers{limit: int64(memoryMB * bufferMemoryFraction * (1 << 20))}
}

// bufferedResponse is the body of a response in chunks. It must be released.
type bufferedResponse struct {
	buffers *responseBuffers
	chunks  [][]byte
	length  int // bytes in all chunks
}

// read reads a body to its end. The error is errResponseTooLarge, errBuffersFull or that of
// the body; the caller releases what was read in any case.
func (b *responseBuffers) read(body io.Reader) (*bufferedResponse, error) {
	r := &bufferedResponse{buffers: b}
	for {
		if b.used.Add(bufferChunkBytes) > b.limit {
			b.used.Add(-bufferChunkBytes)
			return r, errBuffersFull
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
	r.buffers.used.Add(-int64(len(r.chunks)) * bufferChunkBytes)
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
