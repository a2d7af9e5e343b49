package memory

// This file defines Buffer, a body that is read into the memory of a share.

import (
	"bytes"
	"errors"
	"io"
	"slices"
)

const (
	// ChunkBytes is the size in bytes of the largest pieces in which a body of unknown length is read,
	// and minChunkBytes that of the first.
	ChunkBytes    = 32 << 10
	minChunkBytes = 4 << 10
)

// ErrTooLarge means that a body exceeds the size that the reader allows.
var ErrTooLarge = errors.New("the body is too large")

// Buffer is a body in chunks. It must be released.
type Buffer struct {
	share  *Share
	chunks [][]byte
	length int // bytes in all chunks
}

// Bytes returns the whole body, as one piece.
func (b *Buffer) Bytes() []byte {
	if len(b.chunks) == 1 {
		return b.chunks[0]
	}
	return slices.Concat(b.chunks...)
}

// Len returns the size of the body in bytes.
func (b *Buffer) Len() int { return b.length }

// Reader returns a reader of the whole body.
func (b *Buffer) Reader() io.Reader {
	if len(b.chunks) == 1 {
		return bytes.NewReader(b.chunks[0])
	}
	readers := make([]io.Reader, len(b.chunks))
	for i, chunk := range b.chunks {
		readers[i] = bytes.NewReader(chunk)
	}
	return io.MultiReader(readers...)
}

// ReadBody reads a body to its end. The error is ErrTooLarge if it exceeds a size in bytes, a *FullError
// or that of the body; the caller releases what was read in any case.
func (s *Share) ReadBody(body io.Reader, size int) (*Buffer, error) {
	b := &Buffer{share: s}
	for {
		next := min(max(b.length, minChunkBytes), ChunkBytes)
		if err := s.GrowTo(s.bytes + int64(next)); err != nil {
			return b, err
		}
		chunk, err := readChunk(body, next)
		b.chunks = append(b.chunks, chunk)
		b.length += len(chunk)
		switch {
		case b.length > size:
			return b, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return b, err
		}
	}
}

// ReadLength reads a body whose length in bytes is known, for which it takes the memory first. The errors
// are those of ReadBody; a body that ends before has the error io.ErrUnexpectedEOF.
func (s *Share) ReadLength(body io.Reader, length int) (*Buffer, error) {
	b := &Buffer{share: s}
	if err := s.GrowTo(s.bytes + int64(length)); err != nil {
		return b, err
	}
	chunk := make([]byte, length)
	n, err := io.ReadFull(body, chunk)
	b.chunks, b.length = [][]byte{chunk[:n]}, n
	return b, err
}

// readChunk reads until a chunk is full or the body returns an error, which is io.EOF at the
// end of the body. Unlike io.ReadFull it does not turn an end after some bytes into the error
// of a body that was cut off.
func readChunk(body io.Reader, size int) ([]byte, error) {
	chunk := make([]byte, size)
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

// Release gives the memory of the share back.
func (b *Buffer) Release() {
	b.share.Release()
	b.chunks = nil
}

// WriteTo implements io.WriterTo.
func (b *Buffer) WriteTo(w io.Writer) (n int64, err error) {
	for _, chunk := range b.chunks {
		written, err := w.Write(chunk)
		n += int64(written)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
