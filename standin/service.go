package standin

// This file defines Service, a plain service with calls that may be repeated and
// calls that may not. It counts how often each of the latter was run.

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/wire"
)

// ServiceFaults are the ways in which the service misbehaves.
type ServiceFaults struct {
	DropResponses int `json:"lose_answers"` // the next bookings run and are not answered
	DelayMS       int `json:"delay_ms"`
}

// Service is a plain service.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
}

// NewService returns a service that has run nothing.
func NewService() *Service { return &Service{runs: make(map[string]int)} }

// Handler serves the service's interface, and its admin pages.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { encode(w, s.RunCounts()) })
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f ServiceFaults
		if decode(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("GET /", s.look)
	mux.HandleFunc("POST /", s.book)
	return mux
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCounts returns how often each reference was booked.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		runs[k] = v
	}
	return runs
}

func (s *Service) look(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	encode(w, map[string]any{"path": r.URL.Path, "in_stock": true})
}

// book runs a call that may not be repeated; its body names a reference.
func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Reference string `json:"reference"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &call) != nil || call.Reference == "" {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		http.Error(w, "reference: expected a text", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[call.Reference]++
	run := s.runs[call.Reference]
	lose := s.faults.DropResponses > 0
	if lose {
		s.faults.DropResponses--
	}
	delay := time.Duration(s.faults.DelayMS) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]any{"reference": call.Reference, "run": run})
}
