package gateway

// This file defines the limits of the catalog in force that an http.Server cannot change
// while it runs: the idle timeout of connections and the size of headers.

import "time"

// idleTimeout returns the idle timeout of the catalog in force; zero: no limit.
func (g *Gateway) idleTimeout() time.Duration {
	if c := g.deps.Catalog.Load(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}
