package standin

// This file defines what the platform does on orders: it has a pool of spare VMs
// that it puts on the list, and takes VMs off it.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
)

// SpareVM is a VM with an upstream that the platform may start and stop.
type SpareVM struct {
	VM       hosting.VM
	Upstream id.Upstream
	Model    id.Model
	Started  bool
}

// AddSpareVM adds a VM to the pool. A started one must be on the list already.
func (p *Platform) AddSpareVM(s SpareVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spares = append(p.spares, s)
}

// SpareVMs returns the pool.
func (p *Platform) SpareVMs() []SpareVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]SpareVM{}, p.spares...)
}

// carryOut starts or stops spares, once for each order id. The caller holds the lock.
func (p *Platform) carryOut(now time.Time, o hosting.Order) {
	if p.done[o.ID] {
		return
	}
	p.done[o.ID] = true
	left := o.Count
	for i := range p.spares {
		s := &p.spares[i]
		switch {
		case o.Kind == hosting.OrderStart && left > 0 && !s.Started && s.VM.DataCentre == o.DataCentre && s.Model == o.Model:
			left--
			s.Started = true
			s.VM.State = hosting.VMLive
			p.set(now, s.VM)
		case o.Kind == hosting.OrderStop && s.Started && s.Upstream == o.Upstream:
			s.Started = false
			s.VM.State = hosting.VMLeaving
			p.set(now, s.VM)
		}
	}
}
