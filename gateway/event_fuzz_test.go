package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzEventReader splits arbitrary bytes into events. Each event must be a part of the
// bytes and end with a newline. If the stream ended between two events, all events together must be the bytes,
// apart from empty lines at the start and the end. Bytes with carriage returns or with
// several empty lines in a row are exempt from the second check.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("data: a\r\n\r\n\n\nid: x\n\nid: 3\nda"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newEventReader(bytes.NewReader(data))
		var got []byte
		for {
			e, err := r.next()
			if err != nil {
				complete := errors.Is(err, io.EOF)
				require.True(t, complete || errors.Is(err, io.ErrUnexpectedEOF) || len(data) > maxEventBytes)
				trimEmptyLines := func(b []byte) []byte { return bytes.Trim(bytes.ReplaceAll(b, []byte("\r"), nil), "\n") }
				if complete && !bytes.Contains(data, []byte("\n\n\n")) && !bytes.Contains(data, []byte("\r")) {
					require.Equal(t, trimEmptyLines(data), trimEmptyLines(got))
				}
				return
			}
			require.True(t, bytes.HasSuffix(e.raw, []byte("\n")))
			require.Contains(t, string(data), string(e.raw))
			got = append(got, e.raw...)
		}
	})
}
