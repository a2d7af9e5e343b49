// Package standin implements stand-ins for the external systems around the router, with
// faults that tests can inject: Platform and Store for the two kinds of platform, Engine
// for a model engine, and Service for a plain service, that is, an HTTP service that is not
// a model engine. Tests and the demo use them; the router's programs do not.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
)

// maxRecordBytes is the size to which the payload of an append is truncated.
const maxRecordBytes = 32 << 20

// PlatformFaults selects the faults that a Platform injects. The zero value injects none.
type PlatformFaults struct {
	Outage              bool  `json:"outage"`       // log calls fail with 503
	LogDelayMS          int   `json:"slow_ms"`      // delay added to every log call
	DropAppendResponses int   `json:"lose_answers"` // number of coming appends that take effect but get no response
	DropSubmitResponses int   `json:"lose_reports"` // number of coming orders and usage reports that take effect but get no response
	KeepRecords         int   `json:"keep"`         // records kept in each stream; zero: all
	AppendsPerSecond    int   `json:"append_rate"`  // appends beyond this rate fail with 503; zero: no limit
	VMListLagMS         int64 `json:"vm_lag_ms"`    // age of a change before the VM list shows it
}

// Platform is a stand-in for the platform that package hosting is a client of: its log, its
// interfaces for orders and usage reports, and its VM list. It is safe for concurrent use.
type Platform struct {
	mu           sync.Mutex
	faults       PlatformFaults
	streams      map[string]*stream
	appendSecond int64 // Unix second in which appendCount was counted
	appendCount  int   // appends in appendSecond

	orders         []ReceivedOrder
	reports        []ReceivedReport
	highestFencing map[string]id.Term // highest accepted fencing number, by interface
	vms            map[id.Node]listedVM
	spares         []SpareVM
	executedOrders map[id.Order]bool
}

// stream is one named sequence of records on the log.
type stream struct {
	oldestOffset id.Offset
	records      []hosting.Record
	appended     chan struct{} // closed at the next append
}

// stream returns the stream with the given name. The caller holds the lock.
func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = &stream{oldestOffset: 1, appended: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// ReceivedOrder is an order as the platform received it.
type ReceivedOrder struct {
	At       time.Time     `json:"at"` // when it was received
	Order    hosting.Order `json:"order"`
	Accepted bool          `json:"taken"` // false: its fencing number was stale
}

// ReceivedReport is a usage report as the platform received it.
type ReceivedReport struct {
	At       time.Time           `json:"at"` // when it was received
	Report   hosting.UsageReport `json:"report"`
	Accepted bool                `json:"taken"` // false: its fencing number was stale
}

// listedVM is a VM of the list, with its state before its last change, which the list shows
// for as long as it lags.
type listedVM struct {
	vm            hosting.VM
	wasListed     bool // on the list before the change
	previousState hosting.VMState
	changedAt     time.Time
	removed       bool // by the last change
}

// NewPlatform returns a platform with an empty log and no VMs.
func NewPlatform() *Platform {
	return &Platform{
		streams:        make(map[string]*stream),
		highestFencing: make(map[string]id.Term),
		vms:            make(map[id.Node]listedVM),
		executedOrders: make(map[id.Order]bool),
	}
}

// Handler serves the platform's interface, and admin pages to inject faults, to change the VM
// list and to inspect the calls received.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log/{stream}/records", p.handleAppend)
	mux.HandleFunc("GET /v1/log/{stream}/records", p.handleRead)
	mux.HandleFunc("POST /v1/orders", p.handleOrder)
	mux.HandleFunc("POST /v1/usage-reports", p.handleUsageReport)
	mux.HandleFunc("GET /v1/vms", p.handleListVMs)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if decodeJSON(w, r, &f) {
			p.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /admin/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm hosting.VM
		if decodeJSON(w, r, &vm) {
			p.SetVM(time.Now(), vm)
		}
	})
	mux.HandleFunc("DELETE /admin/vms/{id}", func(_ http.ResponseWriter, r *http.Request) {
		p.RemoveVM(time.Now(), id.Node(r.PathValue("id")))
	})
	mux.HandleFunc("GET /admin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.ReceivedOrders()) })
	mux.HandleFunc("GET /admin/reports", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.ReceivedReports()) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	for _, s := range p.streams {
		s.trim(f.KeepRecords)
	}
}

// SetVM adds a VM to the list or replaces it there.
func (p *Platform) SetVM(now time.Time, vm hosting.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateVM(now, vm)
}

// updateVM adds a VM to the list or replaces it there. The caller holds the lock.
func (p *Platform) updateVM(now time.Time, vm hosting.VM) {
	old, ok := p.vms[vm.ID]
	p.vms[vm.ID] = listedVM{vm: vm, wasListed: ok && !old.removed, previousState: old.vm.State, changedAt: now}
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(now time.Time, vm id.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.vms[vm]; ok {
		p.vms[vm] = listedVM{vm: old.vm, wasListed: true, previousState: old.vm.State, changedAt: now, removed: true}
	}
}

// ReceivedOrders returns every order in the order of arrival, accepted or not.
func (p *Platform) ReceivedOrders() []ReceivedOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedOrder{}, p.orders...)
}

// ReceivedReports returns every usage report in the order of arrival, accepted or not.
func (p *Platform) ReceivedReports() []ReceivedReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReceivedReport{}, p.reports...)
}

// trim drops the oldest records beyond the number to keep; zero keeps all.
func (s *stream) trim(keep int) {
	if excess := len(s.records) - keep; keep > 0 && excess > 0 {
		s.records = s.records[excess:]
		s.oldestOffset += id.Offset(excess)
	}
}

// applyLogFaults applies the delay and the outage to a log call. It reports false if it has
// answered the call with an error.
func (p *Platform) applyLogFaults(w http.ResponseWriter) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.LogDelayMS) * time.Millisecond)
	if f.Outage {
		http.Error(w, "log outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil || !p.applyLogFaults(w) {
		return
	}
	p.mu.Lock()
	if p.exceedsAppendRate(time.Now()) {
		p.mu.Unlock()
		http.Error(w, "append rate exceeded", http.StatusServiceUnavailable)
		return
	}
	s := p.stream(r.PathValue("stream"))
	offset := s.oldestOffset + id.Offset(len(s.records))
	s.records = append(s.records, hosting.Record{Offset: offset, Payload: payload})
	s.trim(p.faults.KeepRecords)
	close(s.appended)
	s.appended = make(chan struct{})
	drop := p.faults.DropAppendResponses > 0
	if drop {
		p.faults.DropAppendResponses--
	}
	p.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]id.Offset{"offset": offset})
}

// exceedsAppendRate counts an append and reports whether it exceeds the permitted rate.
// The caller holds the lock.
func (p *Platform) exceedsAppendRate(now time.Time) bool {
	if now.Unix() != p.appendSecond {
		p.appendSecond, p.appendCount = now.Unix(), 0
	}
	p.appendCount++
	return p.faults.AppendsPerSecond > 0 && p.appendCount > p.faults.AppendsPerSecond
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMS, waitErr := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "after, wait_ms: expected whole numbers in the query", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		if !p.applyLogFaults(w) {
			return
		}
		page, appended := p.readPage(r.PathValue("stream"), id.Offset(after))
		if len(page.Records) > 0 || page.OldestOffset > id.Offset(after)+1 || !waiting {
			writeJSON(w, page)
			return
		}
		select {
		case <-appended:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// maxPageRecords is the maximum number of records in one page.
const maxPageRecords = 1000

// readPage returns the records after an offset, and a channel that is closed at the next
// append.
func (p *Platform) readPage(name string, after id.Offset) (hosting.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page := hosting.Page{OldestOffset: s.oldestOffset, NewestOffset: s.oldestOffset + id.Offset(len(s.records)) - 1, Records: []hosting.Record{}}
	if after+1 >= s.oldestOffset && after < page.NewestOffset {
		rest := s.records[after+1-s.oldestOffset:]
		page.Records = append(page.Records, rest[:min(len(rest), maxPageRecords)]...)
	}
	return page, s.appended
}

func (p *Platform) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o hosting.Order
	if !decodeJSON(w, r, &o) {
		return
	}
	p.checkFencing(w, "orders", o.FencingNumber, func(accepted bool) {
		now := time.Now()
		p.orders = append(p.orders, ReceivedOrder{At: now, Order: o, Accepted: accepted})
		if accepted {
			p.executeOrder(now, o)
		}
	})
}

func (p *Platform) handleUsageReport(w http.ResponseWriter, r *http.Request) {
	var u hosting.UsageReport
	if !decodeJSON(w, r, &u) {
		return
	}
	p.checkFencing(w, "reports", u.FencingNumber, func(accepted bool) {
		p.reports = append(p.reports, ReceivedReport{At: time.Now(), Report: u, Accepted: accepted})
	})
}

// checkFencing accepts a call to an interface unless that interface has already accepted a
// higher fencing number. It records the call either way and answers it.
func (p *Platform) checkFencing(w http.ResponseWriter, iface string, fencing id.Term, record func(accepted bool)) {
	p.mu.Lock()
	highest := p.highestFencing[iface]
	accepted := fencing >= highest
	if accepted {
		p.highestFencing[iface] = fencing
	}
	record(accepted)
	drop := p.faults.DropSubmitResponses > 0
	if drop {
		p.faults.DropSubmitResponses--
	}
	p.mu.Unlock()
	switch {
	case drop:
		panic(http.ErrAbortHandler)
	case !accepted:
		http.Error(w, "stale fencing number: highest accepted is "+strconv.FormatUint(uint64(highest), 10), http.StatusConflict)
	default:
		writeJSON(w, struct{}{})
	}
}

// handleListVMs serves the VM list, or 304 if the caller has the same version by its ETag.
func (p *Platform) handleListVMs(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(map[string][]hosting.VM{"vms": p.visibleVMs(time.Now())})
	if err != nil {
		panic("encoding the VM list: " + err.Error())
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// visibleVMs returns the VM list as it is served, with its lag applied, ordered by ID.
func (p *Platform) visibleVMs(now time.Time) []hosting.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := time.Duration(p.faults.VMListLagMS) * time.Millisecond
	list := []hosting.VM{}
	for _, v := range p.vms {
		vm, listed := v.vm, !v.removed
		if now.Sub(v.changedAt) < lag {
			vm.State, listed = v.previousState, v.wasListed
		}
		if listed {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b hosting.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// decodeJSON decodes a request's body into v. It reports false if it has answered 400.
func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
