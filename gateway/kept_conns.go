package gateway

// This file defines for how long, and how many, connections to an upstream are kept without a request.

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTime is for how long an idle connection is kept to an upstream that does not say for how long it
	// does. Upstreams close them after some seconds.
	defaultIdleTime = 4 * time.Second
	// idleTimeMargin is how long before the upstream an idle connection is closed: upstreams state whole seconds, and
	// a request may be on its way when the upstream closes.
	idleTimeMargin = time.Second
	// maxIdleTime limits the time for which an idle connection is kept.
	maxIdleTime = time.Minute
	// maxIdleConnsPerUpstream limits the idle connections kept open to one upstream.
	maxIdleConnsPerUpstream = 64
	// keptConnsFraction is the part of the connections which an upstream accepts that gateways use together by
	// keeping idle ones. The rest is for gateways that run more requests than others, and for those that join.
	keptConnsFraction = 0.75
)

// idleTime returns for how long the connection of a response is kept without a request.
func idleTime(h http.Header) time.Duration {
	stated, found := statedIdleTime(h)
	if !found {
		return defaultIdleTime
	}
	return min(max(stated-idleTimeMargin, stated/2), maxIdleTime)
}

// statedIdleTime returns for how long the upstream keeps an idle connection, if it says so.
func statedIdleTime(h http.Header) (time.Duration, bool) {
	for _, line := range h["Keep-Alive"] {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.ParseUint(strings.Trim(value, `"`), 10, 31); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

// mayKeep reports whether one more connection to an upstream may be kept idle, beside others that are idle. Open is
// how many there are with it, and part how many of those that the upstream accepts are this gateway's;
// zero: not known. One is always kept.
func mayKeep(idle, open int, part float64) bool {
	switch {
	case idle >= maxIdleConnsPerUpstream:
		return false
	case part == 0 || open <= 1:
		return true
	}
	return float64(open) <= keptConnsFraction*part
}
