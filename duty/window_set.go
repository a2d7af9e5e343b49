package duty

// This file defines WindowSet, which names usage windows in a few bytes.

// windowSetSpan is how many windows before the newest one a WindowSet can hold, one for each
// bit of its mask. BacklogWindows is less.
const windowSetSpan = 64

// WindowSet is a set of windows near the newest one in it. It forgets windows that are more
// than windowSetSpan older than that. The zero value is empty.
type WindowSet struct {
	Newest Window // zero: the set is empty
	Before uint64 // bit n stands for the window n+1 before the newest
}

// Has reports whether the set contains a window.
func (s WindowSet) Has(w Window) bool {
	age := s.Newest - w
	return s.Newest != 0 && (age == 0 || age > 0 && age <= windowSetSpan && s.Before>>(age-1)&1 == 1)
}

// With returns the set with a window added.
func (s WindowSet) With(w Window) WindowSet { return s.Union(WindowSet{Newest: w}) }

// Union returns the windows of both sets.
func (s WindowSet) Union(o WindowSet) WindowSet {
	if o.Newest > s.Newest {
		s, o = o, s
	}
	if o.Newest == 0 || s.Newest-o.Newest > windowSetSpan {
		return s
	}
	if age := s.Newest - o.Newest; age == 0 {
		s.Before |= o.Before
	} else {
		s.Before |= o.Before<<age | 1<<(age-1) // shifted by windowSetSpan, Before is zero
	}
	return s
}
