package gateway

// This file defines AwaitSettings, which reads the settings of a process that starts while its settings file
// may still be written.

import (
	"errors"
	"os"
	"time"

	"github.com/go-kit/log"
)

const (
	// settingsPatience is how long a process waits at its start for settings that it can use. Writing a file
	// takes far less, also on a busy VM, and a process that is not ready by then has to be looked at.
	settingsPatience = 5 * time.Second
	// settingsReadInterval is the time between two reads.
	settingsReadInterval = 50 * time.Millisecond
)

// ErrTerminated is returned by AwaitSettings after a signal.
var ErrTerminated = errors.New("terminated before there were settings")

// AwaitSettings reads the settings until they can be used, a signal comes from terminate, or
// settingsPatience is over; then it returns the last error. It makes no difference between a file that is
// missing, empty, cut off or invalid: each may be about to be replaced.
func AwaitSettings(read func() (*Settings, error), terminate <-chan os.Signal, logger log.Logger) (*Settings, error) {
	began := time.Now()
	lastMessage := ""
	for {
		s, err := read()
		now := time.Now()
		if err == nil || now.Sub(began) >= settingsPatience {
			return s, err
		}
		if message := err.Error(); message != lastMessage {
			_ = logger.Log("event", "settings_unusable", "for", now.Sub(began), "gives_up_after", settingsPatience, "err", err)
			lastMessage = message
		}
		select {
		case <-terminate:
			return nil, ErrTerminated
		case <-time.After(settingsReadInterval):
		}
	}
}
