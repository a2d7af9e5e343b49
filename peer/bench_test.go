package peer_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// BenchmarkExchangeRequest encodes the request of an exchange, for fleets whose gateways
// have each counted requests of some workspaces in four windows, and reports its size.
func BenchmarkExchangeRequest(b *testing.B) {
	for _, fleet := range []struct{ gateways, workspaces int }{{5, 10}, {28, 24}, {400, 24}} {
		b.Run(fmt.Sprintf("%d gateways, %d workspaces", fleet.gateways, fleet.workspaces), func(b *testing.B) {
			t := peer.NewTable(peer.Member{Node: "entry-th-central-a-0", Incarnation: 1}, now)
			for i := range fleet.gateways {
				other := peer.NewTable(peer.Member{Node: id.Node(fmt.Sprint("entry-th-central-a-", i+1)), Incarnation: 1_790_000_000_000_000_000}, now)
				if i == 0 {
					other = t
				}
				row := &peer.Row{Address: "10.200.100.100:8229", DataCentre: "th-central-a", ReportedWindow: 358_474_328, CountedToUnixMs: 1_790_000_000_000}
				for w := range 4 {
					use := &ragwortv1.WindowUse{Window: int64(358_474_328 + w), Requests: map[string]uint64{}}
					for n := range fleet.workspaces {
						use.Requests[fmt.Sprint("workspace-", n)] = 100
					}
					row.Use = append(row.Use, use)
				}
				other.Publish(now, row, true)
				t.Merge(now, other.Rows(), other.Marks())
			}
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(&ragwortv1.ExchangeRequest{Rows: []*peer.Row{t.OwnRow()}, Marks: t.Marks()})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
