package gateway

// This file defines the servers of a Program: for callers, for the load balancer's readiness check, for
// peers, and for the pages of operators.

import (
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/ragwortpass/ragwortpass/process"
)

const (
	// maxHeaderBytes limits the size of a request's headers before the catalog's limit
	// applies.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout limits how long a caller may take to send a request's headers.
	readHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout limits how long an idle connection of a caller is kept open if
	// the catalog sets no shorter time.
	defaultIdleTimeout = 2 * time.Minute
)

// servers are the running servers of a Program.
type servers struct {
	all     []*http.Server
	tasks   *sync.WaitGroup
	failed  chan<- error // receives the end of each
	logger  log.Logger
	callers *process.Listener
}

// startServers starts all servers, which tasks waits for. Failed receives the end of each. Callers cannot be
// served without their own port and that of the readiness check; the others wait for theirs for ever.
func (p *Program) startServers(tasks *sync.WaitGroup, failed chan<- error) {
	s := &p.settings.Listen
	p.servers = servers{tasks: tasks, failed: failed, logger: p.logger}
	callers := &http.Server{
		Handler: p.gateway.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	p.servers.callers = p.servers.listen("callers", s.Callers, process.ListenPatience)
	p.callers = p.gateway.TrackCallers(callers, p.servers.callers)
	p.servers.start("callers", callers, p.callers)
	p.openDoor(&door{
		name: "ready", address: s.Ready, patience: process.ListenPatience, sockets: readySocketFraction, requestTime: doorRequestTime,
		memory: p.budgets.Ready, handler: process.WithoutBodies(http.HandlerFunc(p.ready)),
	})
	if s.Peers != "" {
		_, calls := process.NewCallBounds(p.budgets, 0, p.registry, p.logger).Handler("/", p.peers.Handler())
		p.openDoor(&door{
			name: "peers", address: s.Peers, sockets: peerSocketFraction, requestTime: peerRequestTime,
			memory: p.budgets.Peers, handler: calls,
		})
	}
	if p.settings.Metrics != "" {
		p.openDoor(&door{
			name: "metrics", address: p.settings.Metrics, sockets: pageSocketFraction, requestTime: doorRequestTime,
			memory: p.budgets.Pages, handler: process.WithoutBodies(p.operatorPages()),
		})
	}
}

// TrackCallers makes the server of callers close idle connections after the timeout of the catalog in force. The server
// must accept its connections from the returned listener.
func (g *Gateway) TrackCallers(server *http.Server, l net.Listener) *process.Conns {
	return process.NewConns(process.ConnsConfig{
		IdleTimeout: g.idleTimeout, Memory: g.deps.Memory.Connections, MaxOpen: g.deps.MaxCallers, Registry: g.deps.Metrics, Logger: g.deps.Logger,
	}, server, l)
}

// listen returns a listener on an address of the settings, which have been checked.
func (s *servers) listen(name, address string, patience time.Duration) *process.Listener {
	return process.NewListener(time.Now(), name, netip.MustParseAddrPort(address), patience, s.logger)
}

func (s *servers) start(name string, server *http.Server, l net.Listener) {
	server.ErrorLog = stdlog.New(log.NewStdlibAdapter(log.With(s.logger, "event", "http_server_error", "server", name)), "", 0)
	s.all = append(s.all, server)
	s.tasks.Go(func() { s.failed <- server.Serve(l) })
}

// close closes all servers and their connections.
func (s *servers) close() error {
	var err error
	for _, server := range s.all {
		err = errors.Join(err, server.Close())
	}
	return err
}

// operatorPages returns the handler of the metrics and of what else operators ask a gateway.
func (p *Program) operatorPages() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", process.MetricsHandler(p.registry))
	mux.Handle("/holds", p.gateway.HoldsHandler())
	mux.Handle("/holds/", p.gateway.HoldsHandler())
	mux.Handle("/explain", p.gateway.ExplainHandler())
	return mux
}

// ready answers the load balancer's readiness check.
func (p *Program) ready(w http.ResponseWriter, _ *http.Request) {
	if p.servers.callers.Blocked() || !p.gateway.Ready() && !p.staysReady(time.Now()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}
