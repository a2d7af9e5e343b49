package standin

// This file defines Store, a stand-in for the users' platform: its log of topics, and
// the interface that takes usage reports.

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// StoreFaults are the ways in which the store misbehaves. The zero value is well.
type StoreFaults struct {
	Status                int           // of every answer; zero: the store works
	Hang                  bool          // no call is answered
	ResponseDelay         time.Duration // before every answer
	DropResponses         int           // the next appends take effect and their connections break
	StaleReads            bool          // reads see what they saw when this was set
	UnavailablePartitions []string      // partitions that answer 503, by the names in wire.go
}

// ReceivedUsage is a usage report as it came.
type ReceivedUsage struct {
	At            time.Time
	Holder        string
	FencingNumber uint64
	WindowID      int64
	Counts        map[string]uint64
}

// Store keeps topics of any number of partitions. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	faults StoreFaults
	topics map[string]*topic
	calls  map[string]int // by name
	usage  []ReceivedUsage
	beats  int           // entries that replicas have written
	grown  chan struct{} // closed at the next append
}

// topic is one partition of a topic.
type topic struct {
	first   uint64
	records [][]byte
	stale   uint64 // the end that stale reads see
	newest  map[string]keyedRecord
}

type keyedRecord struct {
	offset uint64
	value  []byte
}

// NewStore returns a store without topics.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), calls: make(map[string]int), grown: make(chan struct{})}
}

// Handler serves the store and the accounts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("POST /usage", s.report)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.misbehave(w, r) {
			mux.ServeHTTP(w, r)
		}
	})
}

// misbehave does what the faults say; it reports whether the call goes on.
func (s *Store) misbehave(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.Hang:
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false // the caller has left
		}
		<-r.Context().Done() // which ends with the connection once the body was read
		return false
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return false
	case slices.Contains(f.UnavailablePartitions, partitionOf(r)):
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case f.ResponseDelay > 0:
		t := time.NewTimer(f.ResponseDelay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	return true
}

// partitionOf returns the name of the partition that a call is about: that of its topic
// for partition 0, with the number behind a slash for others.
func partitionOf(r *http.Request) string {
	q := r.URL.Query()
	if part := q.Get("part"); part != "" && part != "0" {
		return q.Get("Topic") + "/" + part
	}
	return q.Get("Topic")
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		for _, t := range s.topics {
			t.stale = t.end()
		}
	}
	s.faults = f
}

// CallCount returns how many calls of a path came, such as /api/log-read.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Len returns how many records of a topic are kept.
func (s *Store) Len(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

// UsageReports returns the usage reports in the order in which they came.
func (s *Store) UsageReports() []ReceivedUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedUsage(nil), s.usage...)
}

// Put writes the newest record of a key, as an operator or a replica does. A nil value
// drops the key.
func (s *Store) Put(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), append(record, value...))
}

// Trim drops every record that is kept for its offset; the newest of each key stay.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first, t.records = t.end(), nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyedRecord)}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// add appends a record. The caller holds the lock.
func (s *Store) add(t *topic, record []byte) {
	if n := 1 + int(record[0]); len(record) >= n {
		key := string(record[1:n])
		delete(t.newest, key)
		if len(record) > n {
			t.newest[key] = keyedRecord{offset: t.end(), value: record[n:]}
		}
	}
	t.records = append(t.records, record)
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(partitionOf(r))
	first := t.end()
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.FormatUint(first, 10) {
		answer(w, http.StatusPreconditionFailed, map[string]uint64{"End": first})
		return
	}
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		s.add(t, body[4:4+n])
		body = body[4+n:]
	}
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, map[string]uint64{"Offset": first, "End": t.end()})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		t := s.topic(partitionOf(r))
		end, grown := t.end(), s.grown
		if s.faults.StaleReads {
			end = t.stale
		}
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]uint64{"First": first})
			return
		}
		if from < end || wait == 0 {
			out := t.frames(from, end)
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-grown:
		case <-timeout.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// frames returns the answer to a read of the records in [from, end).
func (t *topic) frames(from, end uint64) []byte {
	out := binary.BigEndian.AppendUint64(nil, end)
	out = binary.BigEndian.AppendUint64(out, t.first)
	for at := from; at < end; at++ {
		record := t.records[at-t.first]
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}

// newestPage is the most records that one call for the newest returns.
const newestPage = 500

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Value  []byte
		Offset uint64
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(partitionOf(r))
	doc := struct {
		Items   []item
		HasMore bool
		End     uint64
	}{Items: []item{}, End: t.end()}
	after := r.URL.Query().Get("After")
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(doc.Items) == newestPage {
			doc.HasMore = true
			break
		}
		x := t.newest[key]
		doc.Items = append(doc.Items, item{key, x.value, x.offset})
	}
	answer(w, http.StatusOK, doc)
}

func (s *Store) report(w http.ResponseWriter, r *http.Request) {
	var doc struct {
		WindowID int64 `json:"WindowId"`
		Counts   map[string]uint64
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fence"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&doc) != nil {
		http.Error(w, "bad report", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage = append(s.usage, ReceivedUsage{At: time.Now(), Holder: r.Header.Get("X-Duty-Holder"), FencingNumber: fence, WindowID: doc.WindowID, Counts: doc.Counts})
	w.WriteHeader(http.StatusOK)
}

func answer(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc) // a caller that has left needs no answer
}
