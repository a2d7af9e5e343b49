package process

// This file defines how a server stops to accept connections without resetting any.

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxAcceptWait is how long the server has to accept the connections that the kernel holds. It is counted in steps of
	// acceptPollInterval, as a process that was stopped for a while has accepted nothing meanwhile.
	maxAcceptWait      = 200 * time.Millisecond
	acceptPollInterval = 10 * time.Millisecond
	// handshakeTime is how long a handshake that has begun takes at most within a data centre.
	handshakeTime = 2 * time.Millisecond
)

// Readable reports whether a connection has received bytes or an end that were not read, or a listener has
// connections that were not accepted. It reports false for what is not a socket.
func Readable(socket any) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false // closed
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// ListenTCP listens on an address by plain TCP. The kernel has no filters for sockets of multipath TCP, which net.Listen
// prefers.
func ListenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// DrainingListener is a listener that can be closed without resetting connections that the kernel has accepted for it,
// if it is one of ListenTCP, or has its methods SyscallConn and SetDeadline. Its Accept is called by one goroutine.
type DrainingListener struct {
	net.Listener
	stopping  atomic.Bool
	closeOnce sync.Once
	closeErr  error
	endOnce   sync.Once
	ended     chan struct{} // closed when Accept has failed for good: no further connection comes
}

// NewDrainingListener returns l as a DrainingListener.
func NewDrainingListener(l net.Listener) *DrainingListener {
	return &DrainingListener{Listener: l, ended: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *DrainingListener) Accept() (net.Conn, error) {
	for {
		if l.stopping.Load() && !Readable(l.Listener) {
			_ = l.Close() // by the goroutine that looked, as no connection must come in between; Stop returns the error
		}
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && l.stopping.Load():
			if err := l.setDeadline(time.Time{}); err == nil || errors.Is(err, net.ErrClosed) {
				continue
			}
		case errors.Is(err, net.ErrClosed):
			l.endOnce.Do(func() { close(l.ended) })
		}
		return conn, err
	}
}

// Close implements net.Listener. Whoever closes it again gets the result of the first close.
func (l *DrainingListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Stop closes the listener once the connections that the kernel holds for it are accepted. It returns after Accept has
// returned the last one, or after maxAcceptWait. Callers that connect meanwhile are told that nothing listens
// when they repeat their first packet.
func (l *DrainingListener) Stop() error {
	_ = dropSYN(l.Listener) // without the filter, a connection that comes between the last look and the close is reset
	time.Sleep(handshakeTime)
	l.stopping.Store(true)
	err := l.setDeadline(time.Now()) // wakes Accept
	if errors.Is(err, net.ErrClosed) {
		err = nil // Accept has closed it before
	}
	l.awaitEnd()
	return errors.Join(err, l.Close())
}

// awaitEnd returns once Accept has failed for good, and after maxAcceptWait at the latest.
func (l *DrainingListener) awaitEnd() {
	for range maxAcceptWait / acceptPollInterval {
		select {
		case <-l.ended:
			return
		case <-time.After(acceptPollInterval):
		}
	}
}

func (l *DrainingListener) setDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return nil
}

// dropSYN makes the kernel drop the first packet of each further connection to a listener. Handshakes that have begun
// end as usual.
func dropSYN(l net.Listener) error {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	const (
		flagsOffset = 13 // of the TCP header
		syn, ack    = 0x02, 0x10
		acceptAll   = 0xffffffff
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll},
	}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(err, filterErr)
}
