package entry

// This file defines which processes of the platform's list an entry watches: a
// subset of the sidecars of each model and data centre, and of the entries, so
// that its heartbeats do not grow with the fleet.

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

	// maxLearning is how many sidecars of an unknown kind are asked at a time.
	maxLearning = 64
)

// kinds remembers what the sidecars that were ever heard from serve; the list does
// not tell. It is safe for concurrent use.
type kinds struct {
	mu     *sync.Mutex
	byNode map[id.Node]string
}

func newKinds() kinds { return kinds{mu: new(sync.Mutex), byNode: make(map[id.Node]string)} }

// learn notes what a sidecar serves.
func (k kinds) learn(node id.Node, l *ragwortv1.UpstreamLoad) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byNode[node] = l.GetService() + "/" + strings.Join(l.GetModels(), ",")
}

// group is processes that can stand in for each other.
type group struct {
	role       string
	kind       string
	dataCentre id.DataCentre
}

// watched returns the processes of the list that entry self watches.
func (k kinds) watched(self id.Node, vms []hosting.VM) []hosting.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	byID := make(map[id.Node]hosting.VM, len(vms))
	groups := make(map[group][]id.Node)
	var entries, unknown []id.Node
	for _, vm := range vms {
		byID[vm.ID] = vm
		kind, known := k.byNode[vm.ID]
		switch {
		case vm.Role == roleEntry:
			entries = append(entries, vm.ID)
		case known:
			g := group{vm.Role, kind, vm.DataCentre}
			groups[g] = append(groups[g], vm.ID)
		default:
			unknown = append(unknown, vm.ID)
		}
	}
	slices.SortFunc(unknown, func(a, b id.Node) int { return cmp.Compare(a, b) })
	chosen := unknown[:min(len(unknown), maxLearning)]
	chosen = append(chosen, route.Subset(self, entries, entries)...)
	for _, members := range groups {
		chosen = append(chosen, route.Subset(self, entries, members)...)
	}
	k.forget(byID)
	list := make([]hosting.VM, len(chosen))
	for i, node := range chosen {
		list[i] = byID[node]
	}
	return list
}

// forget drops the nodes that are not on the list any more. The caller holds the
// lock.
func (k kinds) forget(listed map[id.Node]hosting.VM) {
	for node := range k.byNode {
		if _, ok := listed[node]; !ok {
			delete(k.byNode, node)
		}
	}
}

// departing returns the processes whose VMs leave.
func departing(vms []hosting.VM) map[id.Node]struct{} {
	nodes := make(map[id.Node]struct{})
	for _, vm := range vms {
		if vm.State == hosting.VMLeaving {
			nodes[vm.ID] = struct{}{}
		}
	}
	return nodes
}
