package gateway

// This file defines reloader, which applies changed settings to a running Program.

import (
	"time"

	"github.com/go-kit/log"
)

// reloader rereads the settings when a reload is asked for. If they cannot be used, as when their file is being
// written, it tries again until settingsPatience is over.
type reloader struct {
	read   func() (*Settings, error)
	apply  func(*Settings)
	logger log.Logger

	giveUp      time.Time        // of the reload that was asked for last
	again       <-chan time.Time // receives when the next attempt is due; nil: none is
	lastMessage string           // of the last refusal
}

// request begins a reload.
func (r *reloader) request(now time.Time) {
	r.giveUp, r.lastMessage = now.Add(settingsPatience), ""
	r.try(now)
}

// try makes one attempt. Settings that cannot be used change nothing.
func (r *reloader) try(now time.Time) {
	r.again = nil
	s, err := r.read()
	if err == nil {
		r.apply(s)
		return
	}
	left := r.giveUp.Sub(now)
	if message := err.Error(); message != r.lastMessage || left <= 0 {
		_ = r.logger.Log("event", "reload_refused", "gives_up_after", max(0, left), "err", err)
		r.lastMessage = message
	}
	if left > 0 {
		r.again = time.After(settingsReadInterval)
	}
}
