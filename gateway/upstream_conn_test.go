package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// idCodec reads only the ids of responses.
type idCodec struct{ HeaderCodec }

func (idCodec) ResponseRequestID(h http.Header) id.Request       { return id.Request(h.Get("Id")) }
func (idCodec) ParseResponse(*http.Response) (info ResponseInfo) { return info }
func (idCodec) connected(*exchange)                              {}
func (idCodec) foreignResponse(_ *exchange, _ *CrossedError)     {}

// lateWriter is a connection whose writes return only when it is released, though the peer has
// their bytes before.
type lateWriter struct {
	net.Conn
	released chan struct{}
}

func (c *lateWriter) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	<-c.released
	return n, err
}

// sendOver sends a request over a connection that was kept, and returns the error.
func sendOver(t *testing.T, conn net.Conn) error {
	client := NewUpstreamClient(idCodec{}, metrics.NewRegistry(), log.NewNopLogger())
	client.keep(newUpstreamConn(conn, upstreamStart{upstream: "i-1"}))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://desk.example/x", strings.NewReader("steel"))
	require.NoError(t, err)
	resp, err := client.do(req, "rq", &pool.Listing{ID: "i-1"}, false, idCodec{})
	if err == nil {
		resp.Body.Close()
	}
	return err
}

// TestWriteInProgressCountsAsSent has the upstream receive a request and close the connection
// before the write has returned.
func TestWriteInProgressCountsAsSent(t *testing.T) {
	ours, theirs := net.Pipe()
	conn := &lateWriter{Conn: ours, released: make(chan struct{})}
	defer close(conn.released)
	go func() {
		if r, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		theirs.Close()
	}()
	err := sendOver(t, conn)
	var unsent *UnsentError
	require.Error(t, err)
	require.NotErrorAs(t, err, &unsent)
}

// brokenWriter is a connection that takes no bytes.
type brokenWriter struct{ net.Conn }

func (brokenWriter) Write([]byte) (int, error) { return 0, net.ErrClosed }

func TestFailedWriteIsUnsent(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	var unsent *UnsentError
	require.ErrorAs(t, sendOver(t, brokenWriter{ours}), &unsent)
}

// TestSealedExchangeWritesNothing seals an exchange before its request is written.
func TestSealedExchangeWritesNothing(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	x := &exchange{conn: newUpstreamConn(ours, upstreamStart{})}
	require.True(t, x.sealUnsent())
	_, err := x.Write([]byte("steel"))
	require.ErrorIs(t, err, net.ErrClosed)
}
