package standin

// This file defines Store, a stand-in for the users' platform that package platform adapts to:
// its log of topics, and the interface that receives usage reports.

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// StoreFaults selects the faults that a Store injects. The zero value injects none.
type StoreFaults struct {
	Status                int           // HTTP status of every response; zero: no fault
	Hang                  bool          // connections stay open, but no call is answered
	ResponseDelay         time.Duration // delay before a call is handled
	DropResponses         int           // number of coming appends that take effect, but whose connections break
	DeafReads             bool          // a log-read that waits does not notice records that are appended meanwhile
	StaleReads            bool          // log-read, but not log-newest, sees no records appended after this was set
	UnavailablePartitions []string      // partitions whose calls fail with 503, by the names in wire.go
}

// ReceivedUsage is a usage report as the store received it.
type ReceivedUsage struct {
	At            time.Time // when it was received
	Holder        string    // the process that holds the duty to report usage
	FencingNumber uint64
	WindowID      int64
	Counts        map[string]uint64
}

// Store is a stand-in for the users' platform. It keeps topics of any number of partitions and
// creates a partition when it is first named. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	faults       StoreFaults
	partitions   map[string]*partition
	callCounts   map[string]int // by URL path
	usageReports []ReceivedUsage
	listingSeq   int           // sequence number of the last listing
	era          atomic.Uint64 // rises each time the store comes back from a copy; changed under mu
	appended     chan struct{} // closed at the next append to any partition
}

// partition is one partition of a topic.
type partition struct {
	firstOffset uint64 // of the oldest record kept
	records     [][]byte
	staleEnd    uint64                 // the end that stale reads see
	newest      map[string]keyedRecord // the newest record of each key
}

// keyedRecord is the newest value of a key, with the offset of its record.
type keyedRecord struct {
	offset uint64
	value  []byte
}

// NewStore returns a store without topics.
func NewStore() *Store {
	s := &Store{partitions: make(map[string]*partition), callCounts: make(map[string]int), appended: make(chan struct{})}
	s.era.Store(1)
	return s
}

// Handler serves the log of topics and the interface for usage reports.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	mux.HandleFunc("POST /usage", s.handleUsageReport)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = &eraWriter{ResponseWriter: w, store: s}
		if s.applyFaults(w, r) {
			mux.ServeHTTP(w, r)
		}
	})
}

// applyFaults counts a call and applies the faults to it. It reports whether the call is to be
// handled.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.callCounts[r.URL.Path]++
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.Hang:
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false // the caller has disconnected
		}
		<-r.Context().Done() // net/http watches the connection only once the body has been read
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

// partitionOf returns the name of the partition that a call addresses: the name of the topic
// for partition 0, else topic/number.
func partitionOf(r *http.Request) string {
	q := r.URL.Query()
	if part := q.Get("part"); part != "" && part != "0" {
		return q.Get("Topic") + "/" + part
	}
	return q.Get("Topic")
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		for _, p := range s.partitions {
			p.staleEnd = p.end()
		}
	}
	s.faults = f
}

// Copy is the content of a store at some time.
type Copy struct{ partitions map[string]*partition }

// Copy returns a copy of the content.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{partitions: make(map[string]*partition, len(s.partitions))}
	for name, p := range s.partitions {
		c.partitions[name] = p.clone()
	}
	return c
}

// Restore replaces the content by that of a copy and begins the next era. The returned
// function writes again what operators and replicas have written since the copy, but for keys that
// they have written anew since Restore: operators never write an older version after a newer one.
func (s *Store) Restore(c *Copy) (rewrite func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := make(map[string][]string) // keys written since the copy, by topic
	for _, topic := range []string{OperatorsTopic, ReplicasTopic} {
		now, then := s.partition(topic), c.partitions[topic]
		if then == nil {
			then = &partition{}
		}
		for _, record := range now.records[min(len(now.records), int(max(then.end(), now.firstOffset)-now.firstOffset)):] {
			lost[topic] = append(lost[topic], string(record[1:1+int(record[0])]))
		}
	}
	before := s.partitions
	s.partitions = make(map[string]*partition, len(c.partitions))
	for name, p := range c.partitions {
		s.partitions[name] = p.clone()
	}
	s.era.Add(1)
	s.wakeReaders()
	return func() {
		for topic, keys := range lost {
			var restoredEnd uint64
			if p := c.partitions[topic]; p != nil {
				restoredEnd = p.end()
			}
			for _, key := range keys {
				s.putUnlessWritten(topic, key, before[topic].newest[key].value, restoredEnd)
			}
		}
	}
}

// putUnlessWritten is Put, unless a record with the key has been appended from an offset on.
func (s *Store) putUnlessWritten(topic, key string, value []byte, from uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic)
	for _, record := range p.records[min(len(p.records), int(max(from, p.firstOffset)-p.firstOffset)):] {
		if string(record[1:1+int(record[0])]) == key {
			return
		}
	}
	s.appendRecord(p, append(append([]byte{byte(len(key))}, key...), value...))
}

// clone returns a copy of a partition. Records are never changed and may be shared.
func (p *partition) clone() *partition {
	return &partition{firstOffset: p.firstOffset, records: slices.Clone(p.records), staleEnd: p.staleEnd, newest: maps.Clone(p.newest)}
}

// eraWriter adds the store's era to a response.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	done  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if !w.done {
		w.done = true
		w.Header().Set("Store-Era", strconv.FormatUint(w.store.era.Load(), 10)) // handlers that answer from the content hold the lock
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(b []byte) (int, error) {
	if !w.done {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// CallCount returns how many calls a path received, such as /api/log-read.
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[path]
}

// Len returns how many records of a partition are kept.
func (s *Store) Len(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.partition(name).records)
}

// UsageReports returns the usage reports in the order of arrival.
func (s *Store) UsageReports() []ReceivedUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedUsage(nil), s.usageReports...)
}

// Put appends a record with a key to partition 0 of a topic, as an operator or a replica does.
// A nil value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(s.partition(topic), append(record, value...))
}

// Trim drops all records of a partition from the log, so that a read from their offsets fails.
// The newest record of each key stays available.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	p.firstOffset, p.records = p.end(), nil
}

// partition returns the partition with the given name. The caller holds the lock.
func (s *Store) partition(name string) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: make(map[string]keyedRecord)}
		s.partitions[name] = p
	}
	return p
}

// end returns the offset of the next append.
func (p *partition) end() uint64 { return p.firstOffset + uint64(len(p.records)) }

// appendRecord appends a record: one byte with the length of its key, the key, and the value,
// which is empty if the key is deleted. The caller holds the lock.
func (s *Store) appendRecord(p *partition, record []byte) {
	if valueStart := 1 + int(record[0]); len(record) >= valueStart {
		key := string(record[1:valueStart])
		delete(p.newest, key)
		if len(record) > valueStart {
			p.newest[key] = keyedRecord{offset: p.end(), value: record[valueStart:]}
		}
	}
	p.records = append(p.records, record)
	s.wakeReaders()
}

// wakeReaders wakes the reads that wait for a record. The caller holds the lock.
func (s *Store) wakeReaders() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionOf(r))
	first := p.end()
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.FormatUint(first, 10) {
		writeStatusJSON(w, http.StatusPreconditionFailed, map[string]uint64{"End": first})
		return
	}
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		s.appendRecord(p, body[4:4+n])
		body = body[4+n:]
	}
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		panic(http.ErrAbortHandler)
	}
	writeStatusJSON(w, http.StatusOK, map[string]uint64{"Offset": first, "End": p.end()})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, "From, WaitMs: expected whole numbers in the query", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waited := false; ; waited = true {
		s.mu.Lock()
		p := s.partition(partitionOf(r))
		end, appended := p.end(), s.appended
		if s.faults.StaleReads {
			end = p.staleEnd
		}
		if s.faults.DeafReads && waited {
			end = from
		}
		if from < p.firstOffset || from > p.end() {
			writeStatusJSON(w, http.StatusGone, map[string]uint64{"First": p.firstOffset})
			s.mu.Unlock()
			return
		}
		if from < end || wait == 0 {
			_, _ = w.Write(p.encodeRecords(min(from, end), end))
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-appended:
		case <-timeout.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the response to a read of the records in [from, end): the end, the
// first offset kept, and each record after its length, all numbers big-endian.
func (p *partition) encodeRecords(from, end uint64) []byte {
	out := binary.BigEndian.AppendUint64(nil, end)
	out = binary.BigEndian.AppendUint64(out, p.firstOffset)
	for at := from; at < end; at++ {
		record := p.records[at-p.firstOffset]
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}

// maxLatestItems is the maximum number of keys in one response of handleNewest.
const maxNewestItems = 500

// handleNewest serves the newest record of each key, ordered by key.
func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type newestItem struct {
		Key    string
		Value  []byte
		Offset uint64
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionOf(r))
	doc := struct {
		Items   []newestItem
		HasMore bool
		End     uint64
	}{Items: []newestItem{}, End: p.end()}
	after := r.URL.Query().Get("After")
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after {
			continue
		}
		if len(doc.Items) == maxNewestItems {
			doc.HasMore = true
			break
		}
		record := p.newest[key]
		doc.Items = append(doc.Items, newestItem{key, record.value, record.offset})
	}
	writeStatusJSON(w, http.StatusOK, doc)
}

func (s *Store) handleUsageReport(w http.ResponseWriter, r *http.Request) {
	var doc struct {
		WindowID int64 `json:"WindowId"`
		Counts   map[string]uint64
	}
	fencing, err := strconv.ParseUint(r.Header.Get("X-Fence"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&doc) != nil {
		http.Error(w, "expected a fencing number in X-Fence and a usage report in a JSON body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usageReports = append(s.usageReports, ReceivedUsage{At: time.Now(), Holder: r.Header.Get("X-Duty-Holder"), FencingNumber: fencing, WindowID: doc.WindowID, Counts: doc.Counts})
	w.WriteHeader(http.StatusOK)
}

// writeStatusJSON writes a status and a JSON document.
func writeStatusJSON(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc) // fails only if the caller has disconnected
}
