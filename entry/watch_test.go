package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// largeFleet lists 400 entries and 2,700 sidecars of 28 models in four data centres. Element
// i of models is the model of vms[i], or "" for an entry.
func largeFleet() (vms []hosting.VM, models []string) {
	for i := range 400 {
		vms = append(vms, hosting.VM{ID: id.Node(fmt.Sprint("e", i)), Role: roleEntry})
		models = append(models, "")
	}
	for i := range 2700 {
		dc := id.DataCentre(fmt.Sprint("dc", i/28%4))
		vms = append(vms, hosting.VM{ID: id.Node(fmt.Sprint("s", i)), Role: "sidecar", DataCentre: dc})
		models = append(models, fmt.Sprint("m", i%28))
	}
	return vms, models
}

// TestSelectWatchedIsBoundedAndCoversModels guards against an entry of a large fleet that
// watches too many processes, or none of some model in some data centre.
func TestSelectWatchedIsBoundedAndCoversModels(t *testing.T) {
	vms, models := largeFleet()
	k := newSidecarKinds()
	require.LessOrEqual(t, len(k.selectWatched("e7", vms)), maxUnknownWatched+10, "too many sidecars of unknown kind are watched at a time")
	for i, vm := range vms {
		if models[i] != "" {
			k.record(vm.ID, &ragwortv1.UpstreamLoad{Models: []string{models[i]}})
		}
	}
	watched := k.selectWatched("e7", vms)
	require.Less(t, len(watched), 300)
	groups := make(map[string]int)
	for _, vm := range watched {
		groups[k.byNode[vm.ID]+string(vm.DataCentre)]++
	}
	require.Len(t, groups, 28*4+1, "every model in every data centre, and the entries, should be watched")
	k.selectWatched("e7", vms[:500])
	require.Len(t, k.byNode, 100, "kinds of unlisted sidecars should be removed")
}

// TestSelectWatchedTakesWholeSmallFleet guards against an entry of a small fleet that leaves
// out sidecars.
func TestSelectWatchedTakesWholeSmallFleet(t *testing.T) {
	k := newSidecarKinds()
	var vms []hosting.VM
	for i := range 18 {
		vm := hosting.VM{ID: id.Node(fmt.Sprint("s", i)), Role: "sidecar", DataCentre: id.DataCentre(fmt.Sprint("dc", i%3))}
		vms = append(vms, vm)
		k.record(vm.ID, &ragwortv1.UpstreamLoad{Models: []string{"m"}})
	}
	require.Len(t, k.selectWatched("e1", vms), len(vms))
}

func BenchmarkWatched(b *testing.B) {
	vms, models := largeFleet()
	k := newSidecarKinds()
	for i, vm := range vms {
		k.record(vm.ID, &ragwortv1.UpstreamLoad{Models: []string{models[i]}})
	}
	for b.Loop() {
		k.selectWatched("e7", vms)
	}
}
