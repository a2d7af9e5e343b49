package response

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// resetConn is a connection that ends while a request is being written to it: the writer gets the error, after a
// time, and the reader an ordinary end.
type resetConn struct {
	net.Conn
	after time.Duration
	err   error
}

func (c resetConn) Write(b []byte) (int, error) {
	time.Sleep(c.after)
	if c.err != nil {
		return 0, c.err
	}
	return len(b), nil
}

func (resetConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestEndIsToldFromReset guards against a reset whose error the last part of a request has got, which the library
// writes after it has reported the request as written.
func TestEndIsToldFromReset(t *testing.T) {
	for name, tc := range map[string]struct {
		after time.Duration // until the write returns
		err   error         // of the write
		want  error         // of the read; nil: an ordinary end
	}{
		"write failed":                 {0, syscall.ECONNRESET, syscall.ECONNRESET},
		"write fails as the read ends": {writeSettleTime / 2, syscall.EPIPE, syscall.EPIPE},
		"write does not return":        {2 * writeSettleTime, syscall.EPIPE, errStillWriting},
		"written":                      {0, nil, nil},
		"written as the read ends":     {writeSettleTime / 2, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &conn{Conn: resetConn{after: tc.after, err: tc.err}, writer: make(chan struct{}, 1)}
				go func() { _, _ = c.Write([]byte("steel")) }()
				synctest.Wait()
				_, err := c.Read(make([]byte, 1))
				if tc.want == nil {
					require.Equal(t, io.EOF, err)
				} else {
					var unwritten *UnwrittenError
					require.ErrorAs(t, err, &unwritten)
					require.ErrorIs(t, err, tc.want)
				}
				time.Sleep(tc.after)
			})
		})
	}
	_, err := (&conn{Conn: resetConn{}, writer: make(chan struct{}, 1)}).Read(nil)
	require.Equal(t, io.EOF, err, "nothing was written")
}
