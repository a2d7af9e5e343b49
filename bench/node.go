package bench

// This file defines Node, an entry or sidecar that runs inside this process, and
// platformLink, its connection to the platform, which can be cut.

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/entry"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/sidecar"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/trace"
)

// The roles of a node.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// lingerFlag sets the time between becoming unready and closing the listener at
// shutdown. It is shorter than the default, as Balancer probes more often than the
// balancers of deployments.
const lingerFlag = "--linger=400ms"

// Node is an entry or a sidecar.
type Node struct {
	Name       id.Node
	Role       string
	DataCentre id.DataCentre
	Address    string
	Upstream   *Upstream      // beside a sidecar; nil for an entry
	State      *logbook.State // nil for the naive policy
	Traces     *trace.Log     // nil for the naive policy
	Metrics    metrics.Registry

	link          *platformLink
	listenerBytes atomic.Int64 // sent and received on the listener
	stop          context.CancelFunc
	abort         chan struct{} // closed by Kill: aborts the running requests
	abortOnce     sync.Once
	done          chan struct{} // closed when the node has ended
}

// Upstream is a stand-in for a model engine or a plain service.
type Upstream struct {
	Name       id.Upstream
	DataCentre id.DataCentre
	URL        string
	Engine     *standin.Engine // nil for a service
	Service    *standin.Service
	Started    time.Time
}

// Stop lets the node finish its requests and waits for its end.
func (n *Node) Stop() {
	n.stop()
	<-n.done
}

// Kill ends the node at once and aborts its requests.
func (n *Node) Kill() {
	n.abortOnce.Do(func() { close(n.abort) })
	n.stop()
	<-n.done
}

// SetDisconnected cuts or restores the node's connection to the platform.
func (n *Node) SetDisconnected(disconnected bool) { n.link.disconnected.Store(disconnected) }

// serve serves on l in the background until the node is stopped or killed.
func (n *Node) serve(l net.Listener, s process.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop, n.abort, n.done = cancel, make(chan struct{}), make(chan struct{})
	s.Listener, s.Abort = &countedListener{Listener: l, bytes: &n.listenerBytes}, n.abort
	go func() {
		defer close(n.done)
		if err := process.Serve(ctx, s); err != nil {
			_ = s.Logger.Log("event", "serve_failed", "err", err)
		}
	}()
}

// platformLink forwards calls to the platform stand-in unless it is cut, and counts
// calls and bytes.
type platformLink struct {
	disconnected atomic.Bool
	next         http.Handler
	calls        atomic.Int64
	bytes        atomic.Int64
}

// ServeHTTP implements http.Handler.
func (l *platformLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.disconnected.Load() {
		panic(http.ErrAbortHandler)
	}
	l.calls.Add(1)
	l.bytes.Add(max(0, r.ContentLength))
	l.next.ServeHTTP(&countedWriter{ResponseWriter: w, bytes: &l.bytes}, r)
}

// countedWriter counts the bytes of a response.
type countedWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

// Write implements io.Writer.
func (w *countedWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// countedListener counts the bytes of its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newNode returns a node that does not serve yet, with its own connection to the
// platform, and the listener to serve on.
func (f *Fleet) newNode(role string, name id.Node, dc id.DataCentre) (*Node, net.Listener, error) {
	l, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return nil, nil, err
	}
	return &Node{
		Name: name, Role: role, DataCentre: dc, Address: l.Addr().String(),
		link: &platformLink{next: f.platformHandler},
	}, l, nil
}

// commonFlags returns the settings that entries and sidecars have in common.
func (f *Fleet) commonFlags(n *Node) ([]string, error) {
	url, err := f.listenAndServe(n.link)
	if err != nil {
		return nil, err
	}
	args := []string{
		"--node=" + string(n.Name), "--data-centre=" + string(n.DataCentre), "--listen=" + n.Address,
		"--platform=" + url, lingerFlag,
	}
	if f.traceCapacity > 0 {
		args = append(args, fmt.Sprint("--traces=", f.traceCapacity))
	}
	return args, nil
}

// StartEntry starts an entry of the fleet's policy and puts it on the VM list.
func (f *Fleet) StartEntry(dc id.DataCentre) (*Node, error) {
	n, l, err := f.newNode(RoleEntry, id.Node(f.uniqueName("e")), dc)
	if err != nil {
		return nil, err
	}
	if f.Policy == PolicyNaive {
		n.Metrics = metrics.NewRegistry()
		n.serve(l, f.naive.service(n, f.logger))
		f.register(n)
		return n, nil
	}
	args, err := f.commonFlags(n)
	if err != nil {
		return nil, err
	}
	var s entry.Settings
	if err := setting.ParseArgs(&s, append(args, f.entryArgs...)...); err != nil {
		return nil, err
	}
	p := entry.NewProgram(time.Now(), &s, log.With(f.logger, "node", n.Name))
	n.State, n.Traces, n.Metrics = p.Deps.State, p.Deps.Traces, p.Deps.Metrics
	n.serve(l, p.Server)
	f.register(n)
	return n, nil
}

// StartSidecar starts a sidecar beside an upstream and puts it on the VM list.
func (f *Fleet) StartSidecar(u *Upstream) (*Node, error) {
	n, l, err := f.newNode(RoleSidecar, id.Node(f.uniqueName("s")), u.DataCentre)
	if err != nil {
		return nil, err
	}
	n.Upstream = u
	args, err := f.commonFlags(n)
	if err != nil {
		return nil, err
	}
	serves := "--models=" + string(f.Deployment.Model)
	if u.Service != nil {
		serves = "--service=" + string(f.Deployment.Service)
	}
	args = append(args, "--upstream="+string(u.Name), "--upstream-url="+u.URL, serves)
	var s sidecar.Settings
	if err := setting.ParseArgs(&s, args...); err != nil {
		return nil, err
	}
	p := sidecar.NewProgram(time.Now(), &s, log.With(f.logger, "node", n.Name))
	n.State, n.Traces, n.Metrics = p.Deps.State, p.Deps.Traces, p.Deps.Metrics
	n.serve(l, p.Server)
	f.register(n)
	return n, nil
}

// register adds a node to the fleet and to the VM list.
func (f *Fleet) register(n *Node) {
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.Platform.SetVM(time.Now(), hosting.VM{
		ID: n.Name, Role: n.Role, DataCentre: n.DataCentre, Address: n.Address, State: hosting.VMLive,
	})
}
