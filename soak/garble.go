package main

// This file defines the fault of an upstream that answers with heads which HTTP does not have, and its checker.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// garbledText is the body that a garbled head announces.
const garbledText = "garbled"

// garbledHeads are status lines and a line each that make the head of a response invalid.
var garbledHeads = [][2]string{
	{"HTTP/1.1 000 OK"}, {"HTTP/1.1 099 OK"}, {"HTTP/1.1 999 OK"}, {"HTTP/1.1 +20 OK"},
	{"HTTP/1.1 200 OK", "X Odd: 1"}, {"HTTP/1.1 200 OK", "X-\x01Odd: 1"}, {"HTTP/1.1 200 OK", "Transfer-Encoding : chunked"},
}

// drawGarbledHeads draws when an upstream garbles heads. It is called last, so that the schedules of seeds that once
// failed stay as they were.
func (tb *testbed) drawGarbledHeads(total time.Duration) []scheduledFault {
	if total <= 2*maxFaultDuration {
		return nil
	}
	return []scheduledFault{{name: "garbled_heads", start: time.Duration(tb.rng.Int64N(int64(total - maxFaultDuration))), duration: maxFaultDuration, target: tb.rng.IntN(1 << 16)}}
}

// garbleHeads lets an upstream garble the heads of its responses.
func (tb *testbed) garbleHeads(f scheduledFault) {
	all := tb.listedUpstreams()
	u := all[f.target%len(all)]
	u.setGarbles(true)
	tb.sleep(f.duration)
	u.setGarbles(false)
}

func (u *upstream) setGarbles(garbles bool) {
	u.markDisturbed()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.garbles = garbles
}

// serveGarbled answers a request with a head that HTTP does not have, on a connection that it then closes.
func (u *upstream) serveGarbled(rw http.ResponseWriter, request id.Request) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		u.testbed.t.Errorf("take over a connection: %v", err)
		return
	}
	defer conn.Close()
	head := garbledHeads[rand.IntN(len(garbledHeads))]
	h := make(http.Header)
	standin.SignResponse(h, request)
	_, _ = fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\n", head[0], len(garbledText)) // errors are ignored: the caller may have left
	_ = h.Write(conn)
	if head[1] != "" {
		_, _ = fmt.Fprintf(conn, "%s\r\n", head[1])
	}
	_, _ = fmt.Fprintf(conn, "\r\n%s", garbledText)
}

// checkGarbledHeads checks that no caller gets a response with a garbled head. That a success is the upstream's answer is
// checked by checkOwnAnswer.
func checkGarbledHeads(h *history) (v checkResult) {
	garbled := make(map[id.Request]bool)
	for _, a := range h.arrivals {
		garbled[a.request] = garbled[a.request] || a.garbled
	}
	for _, r := range h.results {
		if r.status == 0 || !garbled[r.request] {
			continue
		}
		v.checked++
		if r.status < http.StatusOK || r.status >= 600 {
			v.violation("%s got status %d at %v", r.request, r.status, r.done)
		}
	}
	return v
}
