package quota_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
)

// The bound that the sum of all gateways must keep: in any span, excess times the rate, and slack.
const (
	span   = 4 * time.Second
	excess = 1.5
	slack  = 5
)

// policy is how a simulated gateway decides whether it may send a request.
type policy interface {
	// join tells that the gateway has another view of the fleet.
	join(now time.Time, self id.Node, members []id.Node)
	// take reports whether a request may be sent, and records it. Passing allows only a slot that
	// is about to be lost.
	take(now time.Time, passing bool) bool
}

// bySlots shares a rate by the slots of package quota.
type bySlots struct {
	rate  quota.Rate
	fleet quota.Fleet
	ahead time.Duration
	slots quota.Slots
}

func (p *bySlots) join(now time.Time, self id.Node, members []id.Node) {
	p.fleet = quota.NewFleet(self, members, now, now.Add(p.ahead))
}

func (p *bySlots) take(now time.Time, passing bool) bool {
	next := p.slots.Next(now, p.rate, p.fleet)
	if now.Before(next) || passing && now.Sub(next) < p.rate.Usable/2 {
		return false
	}
	p.slots.Take(now, p.rate, p.fleet)
	return true
}

// byEvenRate gives every gateway, or the first few by a hash, an even part of the rate, of which it
// may save one request.
type byEvenRate struct {
	rate    float64 // of the fleet
	few     int     // gateways that share it; zero: all
	part    float64
	nextAt  time.Time
	usable  time.Duration
	random  *rand.Rand
	holding bool
}

func (p *byEvenRate) join(now time.Time, self id.Node, members []id.Node) {
	sharing := len(members)
	holds := true
	if p.few > 0 {
		sharing = min(p.few, len(members))
		ranked := slices.Clone(members)
		slices.SortFunc(ranked, func(a, b id.Node) int { return int(hash(a)%1000) - int(hash(b)%1000) })
		holds = slices.Index(ranked, self) < sharing
	}
	if holds && !p.holding {
		p.nextAt = now.Add(time.Duration(p.random.Float64() * float64(sharing) / p.rate * float64(time.Second)))
	}
	p.holding, p.part = holds, p.rate/float64(sharing)
}

func hash(n id.Node) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(n) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

func (p *byEvenRate) take(now time.Time, passing bool) bool {
	if !p.holding {
		return false
	}
	interval := time.Duration(float64(time.Second) / p.part)
	if late := now.Sub(p.nextAt) - p.usable; late > 0 {
		p.nextAt = p.nextAt.Add((late + interval - 1) / interval * interval)
	}
	if now.Before(p.nextAt) || passing && now.Sub(p.nextAt) < p.usable/2 {
		return false
	}
	p.nextAt = now.Add(interval)
	return true
}

// trouble is what happens to the fleet meanwhile.
type trouble string

const (
	calm    trouble = "calm"
	joining trouble = "joining" // half of the gateways start one after the other
	killed  trouble = "killed"  // a quarter ends at once, and is known to have ended 6 s later
	clocks  trouble = "clocks"  // clocks differ by up to 50 ms
	frozen  trouble = "frozen"  // a quarter freezes for 3 s and goes on, and all its callers are still there
)

// play simulates gateways and returns the most requests that were sent within a span, and the fraction of
// the limit that was used.
func play(seed uint64, gateways int, callers, affine float64, what trouble, newPolicy func(i int, r *rand.Rand, ahead time.Duration) policy, limit float64) (most int, used float64) {
	random := rand.New(rand.NewPCG(seed, 5))
	start := time.Unix(1_800_000_000, 0)
	const length = 40 * time.Second
	const step = 5 * time.Millisecond
	names := make([]id.Node, gateways)
	weights := make([]float64, gateways)
	total := 0.0
	for i := range names {
		names[i] = id.Node(fmt.Sprint("gateway-", i))
		weights[i] = random.ExpFloat64() // demand is uneven
		total += weights[i]
	}
	policies := make([]policy, gateways)
	for i := range policies {
		ahead := time.Duration(0)
		if what == clocks {
			ahead = time.Duration(random.Int64N(int64(50 * time.Millisecond)))
		}
		policies[i] = newPolicy(i, random, ahead)
	}
	known := gateways
	if what == joining {
		known = max(1, gateways/2)
	}
	for i := range known {
		policies[i].join(start, names[i], names[:known])
	}
	var sent []time.Time
	affected := max(1, gateways/4)
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if what == joining && at%time.Second == 0 && known < gateways && at > 0 {
			known++
			policies[known-1].join(now, names[known-1], names[:known])
		}
		if what == joining && at%time.Second == 500*time.Millisecond { // the others learn of it
			for i := range known {
				policies[i].join(now, names[i], names[:known])
			}
		}
		if what == killed && at == 16*time.Second {
			for i := affected; i < gateways; i++ {
				policies[i].join(now, names[i], names[affected:])
			}
		}
		for i := range known {
			if what == killed && i < affected && at >= 10*time.Second && gateways > 1 {
				continue
			}
			if what == frozen && i < affected && at >= 10*time.Second && at < 13*time.Second {
				continue
			}
			rate := callers * weights[i] / total
			n := poisson(random, rate*step.Seconds())
			if what == frozen && i < affected && at == 13*time.Second {
				n += int(3 * rate)
			}
			for range n {
				if policies[i].take(now, random.Float64() > affine/callers) {
					sent = append(sent, now)
				}
			}
		}
	}
	first := 0
	for i, t := range sent {
		for t.Sub(sent[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(sent)) / (limit * length.Seconds())
}

func poisson(r *rand.Rand, mean float64) (n int) {
	for left := r.ExpFloat64(); left < mean; left += r.ExpFloat64() {
		n++
	}
	return n
}

// TestSumKeepsBound plays fleets with limits and compares ways to share them. The slots must keep the
// bound in each. The figures are in docs/design/limits.md. SEEDS sets the number of seeds, and adds
// large fleets and the other ways.
func TestSumKeepsBound(t *testing.T) {
	const share, usable = 0.9, time.Second
	seeds, byHand := uint64(1), false
	if text := os.Getenv("SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		require.NoError(t, err)
		seeds, byHand = n, true
	}
	for _, fleet := range []struct {
		gateways        int
		callers, affine float64 // requests a second of the service, and of them those that prefer the upstream
	}{{4, 140, 7.7}, {30, 600, 12}, {400, 5500, 2}} {
		if fleet.gateways > 30 && !byHand {
			continue
		}
		for _, limit := range []float64{0.2, 1, 5, 50} {
			for _, what := range []trouble{calm, joining, killed, clocks, frozen} {
				allowed := excess*limit*span.Seconds() + slack
				kinds := map[string]func(int, *rand.Rand, time.Duration) policy{
					"slots": func(_ int, _ *rand.Rand, ahead time.Duration) policy {
						return &bySlots{rate: quota.Rate{Key: 99, PerSecond: id.PerSecond(share * limit), Usable: usable, Burst: true}, ahead: ahead}
					},
					"even": func(_ int, r *rand.Rand, _ time.Duration) policy {
						return &byEvenRate{rate: share * limit, usable: usable, random: r}
					},
					"few": func(_ int, r *rand.Rand, _ time.Duration) policy {
						return &byEvenRate{rate: share * limit, few: int(1.2*limit) + 2, usable: 4 * time.Second, random: r}
					},
				}
				line := fmt.Sprintf("%3d gateways, limit %4v, %-7s, allowed %5.1f:", fleet.gateways, limit, what, allowed)
				for _, kind := range []string{"slots", "even", "few"} {
					if kind != "slots" && !byHand {
						continue
					}
					worst, sum := 0, 0.0
					for seed := range seeds {
						most, used := play(seed, fleet.gateways, fleet.callers, fleet.affine, what, kinds[kind], limit)
						worst, sum = max(worst, most), sum+used/float64(seeds)
					}
					line += fmt.Sprintf("  %s %3d used %.2f", kind, worst, sum)
					if kind == "slots" {
						require.LessOrEqual(t, float64(worst), allowed, line)
					}
				}
				t.Log(line)
			}
		}
	}
}
