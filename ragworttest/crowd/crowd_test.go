package crowd_test

// This file defines crowds: connections that all do the same at one door of a process, and what must hold
// of the process meanwhile and afterwards.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/ragworttest"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 300
	// memoryMB is the memory of a process, in its settings, and descriptors the number of its descriptors where a test
	// sets one.
	memoryMB    = 128
	descriptors = 264
	// headBytes and bodyBytes are what heads and bodies of a crowd have, and headLimit and bodyLimit what the
	// configuration allows.
	headBytes = 60_000
	headLimit = 64 << 10
	bodyBytes = 250_000
	bodyLimit = 256 << 10
	// hugeHeadBytes and hugeBodyBytes are far over the limits.
	hugeHeadBytes = 512 << 10
	hugeBodyBytes = 2 << 20
	// sendTime bounds how long a crowd sends, and holdTime is how long it stays afterwards.
	sendTime = 4 * time.Second
	holdTime = 1500 * time.Millisecond
	// slowInterval is the time between two bytes of slow senders and readers.
	slowInterval = 50 * time.Millisecond
	smallPiece   = 1000 // bytes
	aheadCount   = 40   // requests sent ahead on a connection
	// ordinaryTimeout is how long an ordinary caller waits at most.
	ordinaryTimeout = 10 * time.Second
)

// door is where a crowd goes: an address and a path with the headers that the path asks for.
type door struct {
	address, path, headers string
}

// requestLine returns the start of a head, without the empty line that ends it.
func (d door) requestLine(method string) string {
	return method + " " + d.path + " HTTP/1.1\r\n" + d.headers
}

// shape is what each connection of a crowd does until ctx is done. It returns early if nothing remains but to
// stay.
type shape func(ctx context.Context, c net.Conn, d door)

var shapes = map[string]shape{
	"silent":         func(context.Context, net.Conn, door) {},
	"half_head":      func(_ context.Context, c net.Conn, d door) { send(c, d.requestLine("GET")) },
	"body_cut":       func(_ context.Context, c net.Conn, d door) { sendBody(c, d, bodyBytes, bodyBytes-1) },
	"body_in_pieces": sendBodyInPieces,
	"body_in_chunks": sendBodyInChunks,
	"body_too_large": func(_ context.Context, c net.Conn, d door) { sendBody(c, d, hugeBodyBytes, hugeBodyBytes-1) },
	"short_fields": func(_ context.Context, c net.Conn, d door) {
		send(c, d.requestLine("GET")+shortFields()+"\r\n")
	},
	"short_fields_cut": func(_ context.Context, c net.Conn, d door) { send(c, d.requestLine("GET")+shortFields()) },
	"short_fields_pri": func(_ context.Context, c net.Conn, _ door) {
		send(c, "PRI * HTTP/1.1\r\nHost: h\r\n"+shortFields())
	},
	"same_fields": func(_ context.Context, c net.Conn, d door) {
		send(c, d.requestLine("GET")+strings.Repeat("a:\r\n", headBytes/4)+"\r\n")
	},
	"long_field_cut": func(_ context.Context, c net.Conn, d door) {
		send(c, d.requestLine("GET")+"Long: "+strings.Repeat("x", hugeHeadBytes))
	},
	"sent_ahead": func(_ context.Context, c net.Conn, d door) {
		send(c, strings.Repeat(d.requestLine("GET")+"\r\n", aheadCount))
	},
	"short_fields_body": func(_ context.Context, c net.Conn, d door) {
		d.headers += shortFields()
		sendBody(c, d, bodyBytes, bodyBytes-1)
	},
	"slow_sender": sendSlowly,
	"slow_reader": readSlowly,
}

func send(c net.Conn, text string) { _, _ = io.WriteString(c, text) } // fails if the process refuses it

// shortFields returns headBytes of fields with different names, as short as can be.
func shortFields() string {
	var b strings.Builder
	for n := 0; b.Len() < headBytes; n++ {
		b.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return b.String()
}

// sendBody sends a part of a body of a known length.
func sendBody(c net.Conn, d door, length, sent int) {
	send(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", d.requestLine("POST"), length, strings.Repeat("x", sent)))
}

func sendBodyInPieces(ctx context.Context, c net.Conn, d door) {
	sendBody(c, d, bodyBytes, 0)
	for sent := smallPiece; sent < bodyBytes && ctx.Err() == nil; sent += smallPiece {
		if _, err := io.WriteString(c, strings.Repeat("x", smallPiece)); err != nil {
			return
		}
	}
}

func sendBodyInChunks(ctx context.Context, c net.Conn, d door) {
	send(c, d.requestLine("POST")+"Transfer-Encoding: chunked\r\n\r\n")
	for sent := 0; sent < bodyBytes && ctx.Err() == nil; sent += smallPiece {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", smallPiece, strings.Repeat("x", smallPiece)); err != nil {
			return
		}
	}
}

func sendSlowly(ctx context.Context, c net.Conn, d door) {
	head := d.requestLine("POST") + "Content-Length: 1000000\r\n\r\n"
	for n := 0; ctx.Err() == nil; n++ {
		next := "x"
		if n < len(head) {
			next = head[n : n+1]
		}
		if _, err := io.WriteString(c, next); err != nil {
			return
		}
		time.Sleep(slowInterval)
	}
}

func readSlowly(ctx context.Context, c net.Conn, d door) {
	send(c, d.requestLine("GET")+"\r\n")
	b := make([]byte, 1)
	for ctx.Err() == nil {
		if _, err := c.Read(b); err != nil {
			return
		}
		time.Sleep(slowInterval)
	}
}

// target is a process with its doors, and what its ordinary callers ask of it.
type target struct {
	process  *ragworttest.Process
	doors    map[string]door
	ordinary map[string]func() (status int, err error) // requests of ordinary callers, by name; all are answered with 200
}

// dial opens a connection with a small window, so that the process has to keep what is not read.
func dial(ctx context.Context, address string) (net.Conn, error) {
	const window = 4 << 10
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	return d.DialContext(ctx, "tcp", address)
}

// openDescriptors returns the number of open descriptors of the process; zero: it has ended.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// pid returns the process id, by the log.
func pid(t *testing.T, p *ragworttest.Process) (id int) {
	ragworttest.Eventually(t, func() bool {
		match := regexp.MustCompile(`event=start .*pid=(\d+)`).FindStringSubmatch(p.Log.String())
		if match != nil {
			id, _ = strconv.Atoi(match[1])
		}
		return id != 0
	}, "the start is logged")
	return id
}

// run has a crowd do one thing at a door. The process must stay alive and within its memory, and within maxOpen
// descriptors if that is not zero, and answer ordinary callers while the crowd is still there and once it is gone.
func (g *target) run(t *testing.T, d door, s shape, maxOpen int) {
	id := pid(t, g.process)
	idle, most := g.process.PeakMemoryMB(t), openDescriptors(id)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var sending, members sync.WaitGroup
	for range crowdSize {
		sending.Add(1)
		members.Go(func() {
			done := sync.OnceFunc(sending.Done)
			defer done()
			conn, err := dial(ctx, d.address)
			if err != nil {
				return
			}
			defer conn.Close()
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			go func() { // slow ones never have done
				time.Sleep(sendTime)
				done()
			}()
			s(ctx, conn, d)
			done()
			<-ctx.Done()
		})
	}
	sent := make(chan struct{})
	go func() { sending.Wait(); close(sent) }()
	var hold <-chan time.Time
	timeout := time.After(sendTime)
	for here := true; here; {
		select {
		case <-sent:
			sent, hold = nil, time.After(holdTime)
		case <-timeout:
			timeout, hold = nil, time.After(0)
		case <-time.After(20 * time.Millisecond):
			most = max(most, openDescriptors(id))
		case <-hold:
			here = false
		}
	}
	g.requireServed(t, "the crowd is there")
	cancel()
	members.Wait()
	g.requireServed(t, "the crowd is gone")
	peak := g.process.PeakMemoryMB(t)
	t.Logf("%d connections: idle %.0f MB, peak %.0f MB of %d, %d descriptors", crowdSize, idle, peak, memoryMB, most)
	require.Less(t, peak, float64(memoryMB), "megabytes")
	if maxOpen > 0 {
		require.LessOrEqual(t, most, maxOpen, "descriptors")
	}
}

// requireServed checks that the process is alive and answers each ordinary request, if not at once then later.
func (g *target) requireServed(t *testing.T, when string) {
	for name, ask := range g.ordinary {
		ragworttest.Eventually(t, func() bool {
			require.False(t, g.process.Exited(), "the process has ended")
			status, err := ask()
			return err == nil && status == http.StatusOK
		}, "%s: %s is served", when, name)
	}
}

// get returns a function that asks for a page on a new connection.
func get(address, path, host string, header http.Header) func() (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryTimeout}
	return func() (int, error) {
		rq, err := http.NewRequest(http.MethodGet, "http://"+address+path, http.NoBody)
		if err != nil {
			return 0, err
		}
		rq.Host, rq.Header = host, header
		rs, err := client.Do(rq)
		if err != nil {
			return 0, err
		}
		defer rs.Body.Close()
		_, err = io.Copy(io.Discard, rs.Body)
		return rs.StatusCode, err
	}
}

// runAll runs each shape at each door, with a process of its own, which start starts with the number of descriptors that
// it is told; zero: none.
func runAll(t *testing.T, doors []string, start func(t *testing.T, maxDescriptors int) *target) {
	for _, name := range doors {
		for what, s := range shapes {
			t.Run(name+"/"+what, func(t *testing.T) {
				g := start(t, 0)
				g.run(t, g.doors[name], s, 0)
			})
		}
	}
}

// takingDescriptors are the shapes that take descriptors rather than memory.
var takingDescriptors = []string{"silent", "half_head", "body_cut", "sent_ahead", "slow_sender", "slow_reader"}

// runDescriptors runs the shapes that take descriptors at each door of a process that has been told how many it has.
func runDescriptors(t *testing.T, doors []string, start func(t *testing.T, maxDescriptors int) *target) {
	for _, name := range doors {
		for _, what := range takingDescriptors {
			t.Run(name+"/"+what, func(t *testing.T) {
				g := start(t, descriptors)
				g.run(t, g.doors[name], shapes[what], descriptors)
			})
		}
	}
}
