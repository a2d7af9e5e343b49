package standin

// This file defines how the platform executes orders: it starts and stops VMs of a pool of
// spare VMs.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
)

// SpareVM is a VM with an upstream. Orders start and stop the VM.
type SpareVM struct {
	VM       hosting.VM
	Upstream id.Upstream
	Model    id.Model
	Started  bool
}

// AddSpareVM adds a VM to the pool of spare VMs. A started VM must be on the VM list already.
func (p *Platform) AddSpareVM(s SpareVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spares = append(p.spares, s)
}

// SpareVMs returns the pool of spare VMs.
func (p *Platform) SpareVMs() []SpareVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]SpareVM{}, p.spares...)
}

// executeOrder starts spare VMs or marks one as leaving, once for each order ID. The caller
// holds the lock.
func (p *Platform) executeOrder(now time.Time, o hosting.Order) {
	if p.executedOrders[o.ID] {
		return
	}
	p.executedOrders[o.ID] = true
	remaining := o.Count
	for i := range p.spares {
		s := &p.spares[i]
		switch {
		case o.Kind == hosting.OrderStart && remaining > 0 && !s.Started && s.VM.DataCentre == o.DataCentre && s.Model == o.Model:
			remaining--
			s.Started = true
			s.VM.State = hosting.VMLive
			p.updateVM(now, s.VM)
		case o.Kind == hosting.OrderStop && s.Started && s.Upstream == o.Upstream:
			s.Started = false
			s.VM.State = hosting.VMLeaving
			p.updateVM(now, s.VM)
		}
	}
}
