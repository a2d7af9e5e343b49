package entry

// This file defines sidecarKinds, which selects the processes of the platform's VM list that
// an entry watches, that is, sends heartbeats to: a subset of the sidecars of each model and
// data centre, and of the entries, so that its heartbeats do not grow with the fleet.

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/route"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	roleEntry = "entry"

	// maxUnknownWatched limits how many sidecars are watched whose kind is not known yet.
	maxUnknownWatched = 64
)

// sidecarKinds records the kind of each sidecar: the models or the service that it reports to
// serve when it answers a heartbeat, because the VM list does not say. It is safe for
// concurrent use.
type sidecarKinds struct {
	mu     *sync.Mutex
	byNode map[id.Node]string
}

func newSidecarKinds() sidecarKinds {
	return sidecarKinds{mu: new(sync.Mutex), byNode: make(map[id.Node]string)}
}

// record records what a sidecar serves.
func (k sidecarKinds) record(node id.Node, l *ragwortv1.UpstreamLoad) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byNode[node] = l.GetService() + "/" + strings.Join(l.GetModels(), ",")
}

// peerGroup identifies processes that are interchangeable.
type peerGroup struct {
	role       string
	kind       string
	dataCentre id.DataCentre
}

// selectWatched returns the processes of the list that entry self watches.
func (k sidecarKinds) selectWatched(self id.Node, vms []hosting.VM) []hosting.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	byID := make(map[id.Node]hosting.VM, len(vms))
	groups := make(map[peerGroup][]id.Node)
	var entries, unknown []id.Node
	for _, vm := range vms {
		byID[vm.ID] = vm
		kind, known := k.byNode[vm.ID]
		switch {
		case vm.Role == roleEntry:
			entries = append(entries, vm.ID)
		case known:
			g := peerGroup{vm.Role, kind, vm.DataCentre}
			groups[g] = append(groups[g], vm.ID)
		default:
			unknown = append(unknown, vm.ID)
		}
	}
	slices.SortFunc(unknown, func(a, b id.Node) int { return cmp.Compare(a, b) })
	chosen := unknown[:min(len(unknown), maxUnknownWatched)]
	chosen = append(chosen, route.Subset(self, entries, entries)...)
	for _, members := range groups {
		chosen = append(chosen, route.Subset(self, entries, members)...)
	}
	k.removeUnlisted(byID)
	list := make([]hosting.VM, len(chosen))
	for i, node := range chosen {
		list[i] = byID[node]
	}
	return list
}

// removeUnlisted removes the kinds of sidecars that are no longer on the VM list. The caller
// must hold the lock.
func (k sidecarKinds) removeUnlisted(listed map[id.Node]hosting.VM) {
	for node := range k.byNode {
		if _, ok := listed[node]; !ok {
			delete(k.byNode, node)
		}
	}
}

// leavingNodes returns the processes whose VMs are leaving.
func leavingNodes(vms []hosting.VM) map[id.Node]struct{} {
	nodes := make(map[id.Node]struct{})
	for _, vm := range vms {
		if vm.State == hosting.VMLeaving {
			nodes[vm.ID] = struct{}{}
		}
	}
	return nodes
}
