package feed

// This file defines Position, which orders what was read of a topic, and the errors of reads
// from a position that the store does not have.

import (
	"cmp"
	"fmt"
)

// Offset is a position in a topic. The first record has offset 0.
type Offset uint64

// Era is how often the store has come back from a copy. Its offsets are only comparable
// within an era.
type Era uint64

// Position is a position in a topic of a store that may lose its last records.
type Position struct {
	Era    Era
	Offset Offset
}

// Compare returns a negative number if p is older than o, a positive one if it is newer,
// and zero if they are equal.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// String returns the position in the form of log lines.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Offset) }

// EraError means that the store is in another era than the one that the call was for. Has
// the call added a record, then it did so in the store's era.
type EraError struct{ Expected, Actual Era }

func (e *EraError) Error() string {
	return fmt.Sprintf("the store is in era %d, not %d", e.Actual, e.Expected)
}

// BeyondEndError means that a topic ends before the position from which it should be read. No read has
// reached that position, so it is wrong. End is the end, or an offset before it if the store does not tell.
type BeyondEndError struct{ From, End Offset }

func (e *BeyondEndError) Error() string {
	return fmt.Sprintf("the topic ends at offset %d, before offset %d from which it should be read", e.End, e.From)
}

// TrimmedError means that records from offset From on are no longer kept. First is the
// offset of the oldest record that is.
type TrimmedError struct{ From, First Offset }

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records from offset %d on are no longer kept: the oldest record has offset %d", e.From, e.First)
}
