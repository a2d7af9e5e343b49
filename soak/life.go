package main

// This file defines the faults in the life of a process: what it meets at its start, signals at any
// time, the reader of its output that goes away, and stops while callers call without a pause. Its
// checkers judge how processes end, what memory they take and whether a stop answers everybody.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
)

// lifeFaultNames are the faults to draw from; a repeated name is drawn more often.
var lifeFaultNames = []string{
	"start_hangup", "start_hangup", "start_terminate", "start_port", "start_port", "start_settings", "start_settings",
	"hangup", "hangup_stop", "output_gone", "many_callers", "busy_stop", "busy_stop",
}

const (
	// memoryMB is the memory of a process, as on the smallest VMs of the users.
	memoryMB = 184
	// meanLifeFaultInterval is the mean time between the starts of two of these faults.
	meanLifeFaultInterval = 2 * time.Second
	// startPeriod is the time after the start of a process in which signals reach it.
	startPeriod = 50 * time.Millisecond
	// startHangups is how many SIGHUPs come in startPeriod.
	startHangups = 5
	// portHold is how long a port is taken, and settingsHold how long the settings file cannot be read.
	portHold, settingsHold = 500 * time.Millisecond, 300 * time.Millisecond
	// hangupInterval is the time between SIGHUPs at any time, and stopHangupInterval between those
	// during a stop, which meet its last moments.
	hangupInterval, stopHangupInterval = 100 * time.Millisecond, 2 * time.Millisecond
	// busyCallers is how many callers call without a pause from busyLead before a stop on.
	busyCallers, busyLead = 24, 500 * time.Millisecond
	// maxUnanswered is how many requests may get no answer in a stop: the kernel may make a connection
	// just as the process ceases to accept any.
	maxUnanswered = 1
)

// processEnd is how a process of a node ended.
type processEnd struct {
	node           id.Node
	started, at    time.Duration
	sent           syscall.Signal // the last one sent to end it; zero: none
	status         syscall.WaitStatus
	served         bool // it has said that it serves
	stopLogged     bool // its last lines say that it stopped
	outputClosed   bool // nobody read its output to the end
	uncaughtHangup bool // a SIGHUP came before its runtime had a handler
	faultySettings bool // its settings were invalid for longer than settingsHold
	peakMB         float64
	tail           string // its last output
}

// drawLifeFaults draws a schedule of these faults: many callers, and others that end within the total
// time.
func (tb *testbed) drawLifeFaults(total time.Duration) []scheduledFault {
	draw := func(name string, start time.Duration) scheduledFault {
		return scheduledFault{
			name: name, target: tb.rng.IntN(1 << 16), start: start, variant: tb.rng.IntN(1 << 16),
			duration: minFaultDuration + time.Duration(tb.rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
	}
	faults := []scheduledFault{draw("many_callers", time.Duration(tb.rng.Int64N(int64(total/2))))}
	for start := time.Duration(0); start < total; {
		start += time.Duration(tb.rng.ExpFloat64() * float64(meanLifeFaultInterval))
		if f := draw(lifeFaultNames[tb.rng.IntN(len(lifeFaultNames))], start); start+f.duration <= total {
			faults = append(faults, f)
		}
	}
	return faults
}

// injectLifeFault applies a fault to a node.
func (tb *testbed) injectLifeFault(f scheduledFault, n *node) {
	from := tb.now()
	stops := func() {
		tb.addDisturbance(disturbance{cause: "terminate", node: n.name, maintenance: true, span: span{tb.now(), tb.now() + tb.bounds.grace + time.Second}})
		n.sendEndSignal(syscall.SIGTERM)
	}
	delay := time.Duration(f.variant) * time.Microsecond % startPeriod
	switch f.name {
	case "start_hangup":
		n.restartUnder(&signalsAtStart{signal: syscall.SIGHUP, delay: delay / startHangups, count: startHangups})
	case "start_terminate":
		n.restartUnder(&signalsAtStart{signal: syscall.SIGTERM, delay: delay, count: 1})
	case "start_port":
		n.restartUnder(&portTaken{address: []string{n.callerAddress, n.readyAddress, n.peerAddress}[f.variant%3], connected: f.variant/3%2 == 1})
	case "start_settings":
		n.restartUnder(&settingsLate{state: f.variant % 3})
	case "hangup":
		for tb.now() < from+f.duration && tb.sleep(hangupInterval) {
			n.sendSignal(syscall.SIGHUP)
		}
	case "hangup_stop":
		incarnation := n.currentIncarnation()
		stops()
		for n.currentIncarnation() == incarnation && tb.now() < from+tb.bounds.grace && tb.sleep(stopHangupInterval) {
			n.sendSignal(syscall.SIGHUP)
		}
	case "output_gone":
		n.closeOutput()
	case "many_callers":
		tb.sendCrowd(f, n)
	case "busy_stop":
		tb.callDuringStop(n, stops)
	}
}

// closeOutput stops reading the output of the node's process.
func (n *node) closeOutput() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.outputClosed = true
		n.process.CloseOutput()
	}
}

// callDuringStop has callers call a node without a pause before and during a stop, until it accepts no
// more connections.
func (tb *testbed) callDuringStop(n *node, stops func()) {
	stop := 0
	tb.add(func() {
		tb.stops++
		stop = tb.stops
	})
	incarnation := n.currentIncarnation()
	end := tb.now() + busyLead + tb.bounds.grace
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := range busyCallers {
		callers.Go(func() {
			transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
			defer transport.CloseIdleConnections()
			for calls := 0; n.currentIncarnation() == incarnation && tb.now() < end && tb.callersRunning(); calls++ {
				c := call{request: id.Request(fmt.Sprintf("busy-%d-%d-%08x", i, calls, rand.Uint32())), route: testRoutes[rand.IntN(len(testRoutes))], stop: stop}
				if n.hasExited() {
					return
				}
				tb.send(&http.Client{Transport: transport}, n, c)
			}
		})
	}
	if tb.sleep(busyLead) {
		stops()
	}
}

func (n *node) hasExited() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process == nil || n.process.Exited()
}

// startFault is a fault that a process meets at its start.
type startFault interface {
	prepare(n *node) // before the start
	follow(n *node)  // from the start on
}

var (
	_ startFault = (*signalsAtStart)(nil)
	_ startFault = (*portTaken)(nil)
	_ startFault = (*settingsLate)(nil)
	_ startFault = soundStart{}
)

// restartUnder kills the node's process, which meets the fault when it starts again.
func (n *node) restartUnder(f startFault) {
	from := n.testbed.now()
	n.mu.Lock()
	n.startFault = f
	n.mu.Unlock()
	n.sendEndSignal(syscall.SIGKILL)
	n.testbed.sleep(restartDelay + portHold + startMargin)
	n.testbed.addDisturbance(disturbance{cause: "kill", node: n.name, span: span{from, n.testbed.now()}})
}

// takeStartFault returns the fault of the next start.
func (n *node) takeStartFault() startFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.startFault
	n.startFault = nil
	if f == nil {
		return soundStart{}
	}
	return f
}

// soundStart is a start without a fault.
type soundStart struct{}

func (soundStart) prepare(*node) {}
func (soundStart) follow(*node)  {}

// signalsAtStart sends signals to a process that starts.
type signalsAtStart struct {
	signal syscall.Signal
	delay  time.Duration // of the first
	count  int
}

func (s *signalsAtStart) prepare(*node) {}

func (s *signalsAtStart) follow(n *node) {
	for i := range s.count {
		if i > 0 {
			s.delay = startPeriod / time.Duration(s.count)
		}
		if !n.testbed.sleep(s.delay) {
			return
		}
		if s.signal == syscall.SIGTERM {
			n.sendEndSignal(s.signal)
		} else {
			n.sendSignal(s.signal)
		}
	}
}

// portTaken has another process hold an address of the node as this one starts.
type portTaken struct {
	address   string
	connected bool // by an outgoing connection, otherwise by a listener

	listener net.Listener
	conn     net.Conn
}

func (p *portTaken) prepare(n *node) {
	t := n.testbed.t
	var err error
	if !p.connected {
		p.listener, err = net.Listen("tcp", p.address)
		require.NoError(t, err)
		return
	}
	p.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	local, err := net.ResolveTCPAddr("tcp", p.address)
	require.NoError(t, err)
	reuseAddress := func(c syscall.RawConn, reuse int) error {
		var setErr error
		if err := c.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, reuse)
		}); err != nil {
			return err
		}
		return setErr
	}
	// Connections of the process before may not be gone yet.
	dialer := net.Dialer{LocalAddr: local, Control: func(_, _ string, c syscall.RawConn) error { return reuseAddress(c, 1) }}
	p.conn, err = dialer.Dial("tcp", p.listener.Addr().String())
	require.NoError(t, err)
	raw, err := p.conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, reuseAddress(raw, 0)) // others cannot have the port
}

func (p *portTaken) follow(n *node) {
	n.testbed.sleep(portHold)
	p.listener.Close()
	if p.conn != nil {
		require.NoError(n.testbed.t, p.conn.(*net.TCPConn).SetLinger(0))
		p.conn.Close()
	}
}

// settingsLate has a process start before its settings file is written.
type settingsLate struct{ state int } // missing, empty or half written

func (s *settingsLate) prepare(n *node) {
	n.writeSettings("")
	n.mu.Lock()
	defer n.mu.Unlock()
	text, err := os.ReadFile(n.settingsPath)
	require.NoError(n.testbed.t, err)
	if s.state == 0 {
		require.NoError(n.testbed.t, os.Remove(n.settingsPath))
		return
	}
	half := len(text) / 2 * (s.state - 1)
	require.NoError(n.testbed.t, os.WriteFile(n.settingsPath, text[:half], 0o600))
}

func (s *settingsLate) follow(n *node) {
	n.testbed.sleep(settingsHold)
	n.writeSettings("")
}

// checkOwnEnds checks that processes end by themselves only after SIGTERM, with exit status 0. One that
// SIGTERM ends before it has said that it serves has accepted nothing; a SIGHUP that comes before the
// runtime has a handler ends every program; and one whose settings are invalid may end before it serves.
func checkOwnEnds(h *history) (v checkResult) {
	for _, e := range h.ends {
		if e.sent == syscall.SIGKILL {
			continue
		}
		v.checked++
		switch {
		case e.sent == syscall.SIGTERM && !e.served && e.status.Signal() == syscall.SIGTERM:
		case e.sent == syscall.SIGTERM && e.status.ExitStatus() == 0 && (e.stopLogged || e.outputClosed || !e.served):
		case e.uncaughtHangup && !e.served && e.status.Signal() == syscall.SIGHUP:
		case e.faultySettings && !e.served && e.status.ExitStatus() > 0:
		default:
			v.violation("%s, which had started at %v, ended at %v after signal %d with wait status %#x (exit %d), serving %v: %s", e.node, e.started, e.at, e.sent,
				e.status, e.status.ExitStatus(), e.served, e.tail)
		}
	}
	return v
}

// checkMemory checks that the resident memory of every process stays under the memory that it was given.
func checkMemory(h *history) (v checkResult) {
	for _, e := range h.ends {
		if e.peakMB == 0 {
			continue // it ended before it was looked at
		}
		v.checked++
		if e.peakMB >= memoryMB {
			v.violation("%s, which had started at %v, took %.0f MB of %d", e.node, e.started, e.peakMB, memoryMB)
		}
	}
	return v
}

// checkStopAnswered checks that callers that call without a pause during a stop get an answer, if only a
// refusal, on every connection that the process has accepted.
func checkStopAnswered(h *history) (v checkResult) {
	unanswered := make(map[int][]*result)
	for _, r := range h.results {
		if r.stop == 0 || r.notAccepted || r.abandoned || !h.undisturbed(r.node, span{r.sent, r.done}) {
			continue
		}
		v.checked++
		if r.status == 0 {
			unanswered[r.stop] = append(unanswered[r.stop], r)
		}
	}
	for _, lost := range unanswered {
		if len(lost) > maxUnanswered {
			v.violation("%d requests got no answer in a stop of %s, the last at %v", len(lost), lost[0].node, lost[len(lost)-1].done)
		}
	}
	return v
}
