// Package standin holds small stand-ins for the systems around the router: the
// platform, a model engine and a plain service. Tests and the demo use them;
// the router's programs do not.
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

const maxRecordBytes = 32 << 20

// PlatformFaults are the ways in which the platform misbehaves.
type PlatformFaults struct {
	Outage      bool  `json:"outage"`       // the log answers 503
	SlowMS      int   `json:"slow_ms"`      // every log call takes this much longer
	LoseAnswers int   `json:"lose_answers"` // the next appends take effect and are not answered
	LoseReports int   `json:"lose_reports"` // the next orders and reports take effect and are not answered
	Keep        int   `json:"keep"`         // records kept; zero: all
	AppendRate  int   `json:"append_rate"`  // appends a second; zero: no limit
	VMLagMS     int64 `json:"vm_lag_ms"`    // by which the VM list lags
}

// Platform stands in for the platform's log, orders, usage reports and VM list.
type Platform struct {
	mu      sync.Mutex
	faults  PlatformFaults
	streams map[string]*stream
	second  int64 // Unix second of the appends counted in appends
	appends int

	orders  []OrderSeen
	reports []ReportSeen
	terms   map[string]id.Term // highest fencing number seen, by interface
	vms     map[id.Node]vmSeen
	spares  []Spare
	done    map[id.Order]bool // orders carried out
}

// stream is one stream of the log.
type stream struct {
	first   id.Offset
	records []hosting.Record
	grown   chan struct{} // closed at the next append
}

// stream returns the stream with the given name. The caller holds the lock.
func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = &stream{first: 1, grown: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// OrderSeen is an order with the time it came and whether it was taken.
type OrderSeen struct {
	At    time.Time     `json:"at"`
	Order hosting.Order `json:"order"`
	Taken bool          `json:"taken"`
}

// ReportSeen is a usage report with the time it came and whether it was taken.
type ReportSeen struct {
	At     time.Time           `json:"at"`
	Report hosting.UsageReport `json:"report"`
	Taken  bool                `json:"taken"`
}

// vmSeen is a VM with its state before and after its last change.
type vmSeen struct {
	vm      hosting.VM
	listed  bool // before the change
	before  hosting.VMState
	changed time.Time
	removed bool
}

// NewPlatform returns a platform with an empty log.
func NewPlatform() *Platform {
	return &Platform{
		streams: make(map[string]*stream),
		terms:   make(map[string]id.Term),
		vms:     make(map[id.Node]vmSeen),
		done:    make(map[id.Order]bool),
	}
}

// Handler serves the platform's interface, and its admin pages.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log/{stream}/records", p.append)
	mux.HandleFunc("GET /v1/log/{stream}/records", p.read)
	mux.HandleFunc("POST /v1/orders", p.order)
	mux.HandleFunc("POST /v1/usage-reports", p.report)
	mux.HandleFunc("GET /v1/vms", p.list)
	mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if decode(w, r, &f) {
			p.SetFaults(f)
		}
	})
	mux.HandleFunc("POST /admin/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm hosting.VM
		if decode(w, r, &vm) {
			p.SetVM(time.Now(), vm)
		}
	})
	mux.HandleFunc("DELETE /admin/vms/{id}", func(_ http.ResponseWriter, r *http.Request) {
		p.RemoveVM(time.Now(), id.Node(r.PathValue("id")))
	})
	mux.HandleFunc("GET /admin/orders", func(w http.ResponseWriter, _ *http.Request) { encode(w, p.OrdersSeen()) })
	mux.HandleFunc("GET /admin/reports", func(w http.ResponseWriter, _ *http.Request) { encode(w, p.ReportsSeen()) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	return mux
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	for _, s := range p.streams {
		s.trim(f.Keep)
	}
}

// SetVM adds a VM to the list or changes its state.
func (p *Platform) SetVM(now time.Time, vm hosting.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(now, vm)
}

// set adds a VM or changes its state. The caller holds the lock.
func (p *Platform) set(now time.Time, vm hosting.VM) {
	old, ok := p.vms[vm.ID]
	p.vms[vm.ID] = vmSeen{vm: vm, listed: ok && !old.removed, before: old.vm.State, changed: now}
}

// RemoveVM takes a VM off the list.
func (p *Platform) RemoveVM(now time.Time, vm id.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.vms[vm]; ok {
		p.vms[vm] = vmSeen{vm: old.vm, listed: true, before: old.vm.State, changed: now, removed: true}
	}
}

// OrdersSeen returns every order that came.
func (p *Platform) OrdersSeen() []OrderSeen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]OrderSeen{}, p.orders...)
}

// ReportsSeen returns every usage report that came.
func (p *Platform) ReportsSeen() []ReportSeen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]ReportSeen{}, p.reports...)
}

// trim drops records beyond those kept; keep zero keeps all.
func (s *stream) trim(keep int) {
	if over := len(s.records) - keep; keep > 0 && over > 0 {
		s.records = s.records[over:]
		s.first += id.Offset(over)
	}
}

// fault applies outage and slowness to a log call; it reports false if the call
// has been answered.
func (p *Platform) fault(w http.ResponseWriter) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Outage {
		http.Error(w, "log outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil || !p.fault(w) {
		return
	}
	p.mu.Lock()
	if p.overRate(time.Now()) {
		p.mu.Unlock()
		http.Error(w, "append rate exceeded", http.StatusServiceUnavailable)
		return
	}
	s := p.stream(r.PathValue("stream"))
	offset := s.first + id.Offset(len(s.records))
	s.records = append(s.records, hosting.Record{Offset: offset, Payload: payload})
	s.trim(p.faults.Keep)
	close(s.grown)
	s.grown = make(chan struct{})
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	encode(w, map[string]id.Offset{"offset": offset})
}

// overRate counts an append and reports whether it is over the rate. The caller
// holds the lock.
func (p *Platform) overRate(now time.Time) bool {
	if now.Unix() != p.second {
		p.second, p.appends = now.Unix(), 0
	}
	p.appends++
	return p.faults.AppendRate > 0 && p.appends > p.faults.AppendRate
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMS, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		http.Error(w, "after, wait_ms: expected whole numbers", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer end.Stop()
	for waiting := true; ; {
		if !p.fault(w) {
			return
		}
		page, grown := p.page(r.PathValue("stream"), id.Offset(after))
		if len(page.Records) > 0 || page.OldestOffset > id.Offset(after)+1 || !waiting {
			encode(w, page)
			return
		}
		select {
		case <-grown:
		case <-end.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// pageRecords is the most records in one page.
const pageRecords = 1000

func (p *Platform) page(name string, after id.Offset) (hosting.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page := hosting.Page{OldestOffset: s.first, NewestOffset: s.first + id.Offset(len(s.records)) - 1, Records: []hosting.Record{}}
	if after+1 >= s.first && after < page.NewestOffset {
		rest := s.records[after+1-s.first:]
		page.Records = append(page.Records, rest[:min(len(rest), pageRecords)]...)
	}
	return page, s.grown
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o hosting.Order
	if !decode(w, r, &o) {
		return
	}
	p.fenced(w, "orders", o.FencingNumber, func(taken bool) {
		now := time.Now()
		p.orders = append(p.orders, OrderSeen{At: now, Order: o, Taken: taken})
		if taken {
			p.carryOut(now, o)
		}
	})
}

func (p *Platform) report(w http.ResponseWriter, r *http.Request) {
	var u hosting.UsageReport
	if !decode(w, r, &u) {
		return
	}
	p.fenced(w, "reports", u.FencingNumber, func(taken bool) {
		p.reports = append(p.reports, ReportSeen{At: time.Now(), Report: u, Taken: taken})
	})
}

// fenced takes a call unless a higher fencing number has been seen, and notes it
// either way.
func (p *Platform) fenced(w http.ResponseWriter, name string, term id.Term, note func(taken bool)) {
	p.mu.Lock()
	highest := p.terms[name]
	taken := term >= highest
	if taken {
		p.terms[name] = term
	}
	note(taken)
	lose := p.faults.LoseReports > 0
	if lose {
		p.faults.LoseReports--
	}
	p.mu.Unlock()
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !taken:
		http.Error(w, "highest fencing number seen is "+strconv.FormatUint(uint64(highest), 10), http.StatusConflict)
	default:
		encode(w, struct{}{})
	}
}

// list serves the VM list, or nothing but its tag if the caller has it already.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(map[string][]hosting.VM{"vms": p.listed(time.Now())})
	if err != nil {
		panic("VM lists always encode")
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

// listed returns the list as it is served, in the order of the ids.
func (p *Platform) listed(now time.Time) []hosting.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := time.Duration(p.faults.VMLagMS) * time.Millisecond
	list := []hosting.VM{}
	for _, v := range p.vms {
		vm, listed := v.vm, !v.removed
		if now.Sub(v.changed) < lag {
			vm.State, listed = v.before, v.listed
		}
		if listed {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b hosting.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
