package process

// This file defines Listener, which a server accepts connections from whatever happens to its port.

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"
)

const (
	// minListenPause and maxListenPause bound the pause after a failure to listen, which doubles with
	// each. The longest is how much later than its port is free a server may begin.
	minListenPause = 20 * time.Millisecond
	maxListenPause = 500 * time.Millisecond
	// ListenPatience is how long a program waits for a port that it cannot do without. A connection of
	// another process may have the port for as long as that one keeps idle connections, which is
	// rarely longer. A program without its port is then of no use, and its supervisor has to know.
	ListenPatience = 2 * time.Minute
)

// Listener is a net.Listener for one server. It listens as soon as its port is free, and again after a
// failure, and logs both. It is safe for concurrent use.
type Listener struct {
	server   string
	address  netip.AddrPort
	patience time.Duration
	logger   log.Logger
	closed   chan struct{}

	mu     sync.Mutex
	inner  net.Listener // nil while the port cannot be listened on
	failed time.Time    // when the first of consecutive attempts failed; zero: none
}

var (
	_ net.Listener = (*Listener)(nil)
	_ syscall.Conn = (*Listener)(nil)
)

// NewListener tries to listen for the named server. If that fails, Accept tries again until patience is
// over, or for ever if patience is zero.
func NewListener(now time.Time, server string, address netip.AddrPort, patience time.Duration, logger log.Logger) *Listener {
	l := &Listener{server: server, address: address, patience: patience, logger: logger, closed: make(chan struct{})}
	_ = l.listen(now) // was logged; Accept tries again
	return l
}

// Blocked reports whether the port cannot be listened on.
func (l *Listener) Blocked() bool { return l.current() == nil }

// Accept implements net.Listener. It returns a *ServerError once patience is over.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.wait()
		if err != nil {
			return nil, err
		}
		conn, err := inner.Accept()
		var temporary interface{ Temporary() bool }
		switch {
		case err == nil:
			return conn, nil
		case l.isClosed():
			return nil, net.ErrClosed
		case errors.As(err, &temporary) && temporary.Temporary():
			return nil, err // such as too many open descriptors, after which an http.Server accepts again
		}
		l.drop(time.Now(), inner, err)
	}
}

// Close implements net.Listener. A second call does nothing.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed() {
		return nil
	}
	close(l.closed)
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr {
	if inner := l.current(); inner != nil {
		return inner.Addr()
	}
	return net.TCPAddrFromAddrPort(l.address)
}

// SyscallConn implements syscall.Conn. The error is errors.ErrUnsupported while the port is not listened on: there
// is no socket, which is no failure of whoever closes the listener.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := l.current().(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetDeadline sets until when Accept waits on the port, if it is listened on.
func (l *Listener) SetDeadline(t time.Time) error {
	if inner, ok := l.current().(interface{ SetDeadline(t time.Time) error }); ok {
		return inner.SetDeadline(t)
	}
	return nil
}

func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *Listener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// wait returns the listener of the port once there is one.
func (l *Listener) wait() (net.Listener, error) {
	for pause := minListenPause; ; pause = min(2*pause, maxListenPause) {
		if inner := l.current(); inner != nil {
			return inner, nil
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
		now := time.Now()
		if err := l.listen(now); err != nil && l.patience > 0 && now.Sub(l.failedSince()) >= l.patience {
			return nil, &ServerError{Server: l.server, Address: l.address.String(), Err: eris.Wrapf(err, "listen for %s", l.patience)}
		}
	}
}

// failedSince returns when the first of consecutive attempts failed.
func (l *Listener) failedSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// listen tries to listen and logs the outcome.
func (l *Listener) listen(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil || l.isClosed() {
		return nil
	}
	inner, err := ListenTCP(l.address.String())
	if err == nil {
		var after time.Duration
		if !l.failed.IsZero() {
			after = now.Sub(l.failed)
		}
		l.inner, l.failed = inner, time.Time{}
		_ = l.logger.Log("event", "listening", "server", l.server, "address", inner.Addr(), "after", after)
		return nil
	}
	if l.failed.IsZero() {
		l.failed = now
	}
	_ = l.logger.Log("event", "listen_failed", "server", l.server, "address", l.address, "for", now.Sub(l.failed), "gives_up_after", l.patience, "err", err)
	return err
}

// drop gives up a listener that has failed.
func (l *Listener) drop(now time.Time, inner net.Listener, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != inner {
		return
	}
	closeErr := inner.Close()
	l.inner, l.failed = nil, now
	_ = l.logger.Log("event", "server_failed", "server", l.server, "address", l.address, "err", errors.Join(err, closeErr))
}
