package standin

// This file defines Service, a stand-in for a plain service. Its GET calls may be repeated; its
// POST calls are bookings, which must run at most once, so it counts how often each has run.

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/wire"
)

// ServiceFaults selects the faults that a Service injects. The zero value injects none.
type ServiceFaults struct {
	DropResponses int `json:"lose_answers"` // number of coming bookings that run but get no response
	DelayMS       int `json:"delay_ms"`     // time that a booking takes
}

// Service is a stand-in for a plain service behind the router. It is safe for concurrent use.
type Service struct {
	mu        sync.Mutex
	faults    ServiceFaults
	runCounts map[string]int // by the reference of the booking
}

// NewService returns a service without bookings.
func NewService() *Service { return &Service{runCounts: make(map[string]int)} }

// Handler serves the service's interface, and admin pages to inject faults and to inspect
// the run counts.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.RunCounts()) })
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f ServiceFaults
		if decodeJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	mux.HandleFunc("GET /", s.handleLookup)
	mux.HandleFunc("POST /", s.handleBooking)
	return mux
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RunCounts returns how often the booking of each reference has run.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runCounts))
	for k, v := range s.runCounts {
		runs[k] = v
	}
	return runs
}

func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	writeJSON(w, map[string]any{"path": r.URL.Path, "in_stock": true})
}

// handleBooking runs a booking, which must not be repeated. Its body names a reference.
func (s *Service) handleBooking(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Reference string `json:"reference"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &call) != nil || call.Reference == "" {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		http.Error(w, "reference: expected a non-empty string in a JSON body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runCounts[call.Reference]++
	run := s.runCounts[call.Reference]
	drop := s.faults.DropResponses > 0
	if drop {
		s.faults.DropResponses--
	}
	delay := time.Duration(s.faults.DelayMS) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]any{"reference": call.Reference, "run": run})
}
