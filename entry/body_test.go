package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/problem"
)

// TestEndlessBodyHoldsRequest guards against a body that stops midway and holds its request, and the shutdown
// of its entry, without end.
func TestEndlessBodyHoldsRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		body, p := readBody(w, r, &request{arrived: now, deadline: now.Add(100 * time.Millisecond)})
		if p != nil {
			p.Write(w)
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	for _, whole := range []bool{false, true} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
		text := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nfirst"
		if whole {
			text += "after"
		}
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		if whole {
			require.Equal(t, "firstafter", string(body))
			continue
		}
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.Equal(t, string(problem.BodyLate), gjson.GetBytes(body, "reason").Str)
	}
}
