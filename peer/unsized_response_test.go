package peer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/peer"
)

// TestUnsizedResponseOfPeer guards against the first bytes of a peer's message being taken for all of it: a part
// of a message, or none at all, may be one too.
func TestUnsizedResponseOfPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n")
				}
			}()
		}
	}()
	text := new(logText)
	logger := log.NewLogfmtLogger(text)
	topic := feed.New(feed.Config{}, nil, nil, log.NewNopLogger(), metrics.NewRegistry())
	x := peer.NewExchanger(peer.Config{Address: "127.0.0.1:1", Seeds: []string{l.Addr().String()}}, peer.NewTable(peer.Member{Node: "a", Incarnation: 1}, time.Now()),
		peer.Topics{Operators: topic, Upstreams: topic}, clock.New(), func(time.Time) (*peer.Row, bool) { return new(peer.Row), false }, logger, metrics.NewRegistry())
	go x.Run(t.Context())
	require.Eventually(t, func() bool {
		return strings.Contains(text.String(), "event=peer_lost") && strings.Contains(text.String(), "neither a length nor chunks")
	}, 5*time.Second, 10*time.Millisecond, "the message counts: %s", text)
}
