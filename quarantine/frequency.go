package quarantine

// This file defines frequency, which tells the parts that many requests have. Such a part is at nearly
// every engine, whatever that crashes from.

import (
	"maps"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// A part is common if it is in one of commonFraction requests, and in minCommonRequests at least.
	commonFraction    = 4
	minCommonRequests = 3
	// maxCountedRequests is how many requests are counted before older ones lose half of their weight.
	maxCountedRequests = 512
)

// frequency counts the parts of requests, later ones more than earlier ones.
type frequency struct {
	requests int
	byPart   map[id.PromptPart]int
}

// count counts a request with different parts.
func (f *frequency) count(parts []id.PromptPart) {
	if f.requests >= maxCountedRequests {
		f.requests /= 2
		maps.DeleteFunc(f.byPart, func(_ id.PromptPart, n int) bool { return n < 2 })
		for part, n := range f.byPart {
			f.byPart[part] = n / 2
		}
	}
	f.requests++
	for _, part := range parts[:min(len(parts), maxPartsPerCrash)] {
		f.byPart[shorten(part)]++
	}
}

// isCommon reports whether a part is in many requests.
func (f *frequency) isCommon(part id.PromptPart) bool {
	n := f.byPart[part]
	return n >= minCommonRequests && n*commonFraction >= f.requests
}
