package pool

// This file defines what a pool knows of the versions of a service.

import "github.com/ragwortpass/ragwortpass/id"

// VersionLoad describes the upstreams of one version of a service.
type VersionLoad struct {
	Upstreams int // that take requests
	Slots     int // of these
	Running   int // requests of this gateway, also at upstreams that take no more
}

// Versions returns the versions of the listed upstreams of a service.
func (p *Pool) Versions(s id.Service) map[id.Version]VersionLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := make(map[id.Version]VersionLoad)
	for _, u := range p.byService[s] {
		v := versions[u.Version]
		if p.acceptsWork(u) {
			v.Upstreams++
			v.Slots += u.Slots
		}
		v.Running += u.running
		versions[u.Version] = v
	}
	return versions
}
