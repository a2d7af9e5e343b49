package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzEvents splits any bytes into events: put together they are a prefix of the bytes
// but for empty lines between events, and all of them if the stream ended whole.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("data: a\r\n\r\n\n\nid: x\n\nid: 3\nda"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newEventReader(bytes.NewReader(data))
		var got []byte
		for {
			e, err := r.next()
			if err != nil {
				whole := errors.Is(err, io.EOF)
				require.True(t, whole || errors.Is(err, io.ErrUnexpectedEOF) || len(data) > maxEvent)
				squeeze := func(b []byte) []byte { return bytes.Trim(bytes.ReplaceAll(b, []byte("\r"), nil), "\n") }
				if whole && !bytes.Contains(data, []byte("\n\n\n")) && !bytes.Contains(data, []byte("\r")) {
					require.Equal(t, squeeze(data), squeeze(got))
				}
				return
			}
			require.True(t, bytes.HasSuffix(e.raw, []byte("\n")))
			require.Contains(t, string(data), string(e.raw))
			got = append(got, e.raw...)
		}
	})
}
