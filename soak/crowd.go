package main

// This file defines the fault of many callers at once.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	// maxBodyBytes is the limit of the configuration for bodies.
	maxBodyBytes = 64 << 10
	// crowdLead is how long after the first of the callers the last one calls.
	crowdLead = 200 * time.Millisecond
	// latePieces is in how many pieces a late body comes, in lateDuration.
	latePieces, lateDuration = 8, 1600 * time.Millisecond
	// missingBytes is how many bytes of a body never come.
	missingBytes = 536
)

// crowdSizes are how many callers there may be at once.
var crowdSizes = []int{300, 1000, 2000}

// crowdPayload is the body of every caller of a crowd.
var crowdPayload = strings.Repeat("s", maxBodyBytes)

// crowd says how many callers behave.
type crowd struct{ way crowdWay }

type crowdWay int

const (
	wholeBodies crowdWay = iota
	lateBodies
	unfinishedBodies
	unreadAnswers // callers do not read their answers
	crowdWays
)

// body returns the body of a caller. It ends with an error when ctx is done.
func (c *crowd) body(ctx context.Context) io.Reader {
	whole := strings.NewReader(crowdPayload)
	switch c.way {
	case lateBodies:
		return &pacedReader{ctx: ctx, reader: whole, piece: maxBodyBytes / latePieces, pause: lateDuration / latePieces}
	case unfinishedBodies:
		return io.MultiReader(io.LimitReader(whole, maxBodyBytes-missingBytes), &pacedReader{ctx: ctx, reader: whole, piece: 1, pause: callerDeadline})
	}
	return whole
}

// pacedReader reads in pieces, with a pause before each.
type pacedReader struct {
	ctx    context.Context
	reader io.Reader
	piece  int
	pause  time.Duration
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	select {
	case <-time.After(p.pause):
		return p.reader.Read(b[:min(len(b), p.piece)])
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	}
}

// sendCrowd has many callers call a node at once, and waits for them.
func (tb *testbed) sendCrowd(f scheduledFault, n *node) {
	c := &crowd{way: crowdWay(f.variant % int(crowdWays))}
	size := crowdSizes[f.variant/int(crowdWays)%len(crowdSizes)]
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := range size {
		callers.Go(func() {
			if !tb.sleep(time.Duration(rand.Int64N(int64(crowdLead)))) {
				return
			}
			single := call{request: id.Request(fmt.Sprintf("crowd-%d-%08x", i, rand.Uint32())), route: testRoutes[i%len(testRoutes)], crowd: c}
			if c.way == unreadAnswers {
				tb.sendUnread(n, single, f.duration)
				return
			}
			tb.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, n, single)
		})
	}
}

// sendUnread sends a request, and closes the connection after a while without having read from it.
func (tb *testbed) sendUnread(n *node, c call, d time.Duration) {
	key, workspacePriority := tb.pickKey()
	r := &result{
		request: c.request, kind: c.route.kind, key: key, node: n.name, incarnation: n.currentIncarnation(), sent: tb.now(),
		priority: [2]int{workspacePriority, c.route.priority}, abandoned: true,
	}
	defer tb.add(func() {
		r.done = tb.now()
		tb.results = append(tb.results, r)
	})
	conn, err := net.DialTimeout("tcp", n.callerAddress, callerDeadline)
	if err != nil {
		return // the process is being restarted
	}
	defer conn.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+hostName+"/"+c.route.kind.String()+"/x", strings.NewReader(crowdPayload))
	if err != nil {
		tb.t.Errorf("build request: %v", err)
		return
	}
	standin.SetRequestHeaders(req.Header, c.request, key, callerDeadline)
	if err := req.Write(conn); err != nil {
		return // the process has ended or refused the body
	}
	tb.sleep(d)
}
