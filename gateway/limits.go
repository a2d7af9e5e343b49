package gateway

// This file defines the limits of the catalog in force that an http.Server cannot change
// while it runs: the idle timeout of connections and the size of headers.

import (
	"net/http"
	"time"
)

// idleTimeout returns the idle timeout of the catalog in force; zero: no limit.
func (g *Gateway) idleTimeout() time.Duration {
	if c := g.deps.Catalog.Load(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// headerSize returns the approximate size in bytes of a request's line and headers.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
