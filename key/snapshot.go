package key

// This file defines the table's part of a snapshot.

import "github.com/ragwortpass/ragwortpass/wire/ragwortv1"

// Snapshot writes the table to a state, sorted by key ID.
func (t *Table) Snapshot(to *ragwortv1.State) {
	for _, k := range t.All() {
		if k.Workspace != "" { // not a withdrawn ID that was never given
			to.Keys = append(to.Keys, toRecord(k))
		}
		if k.Withdrawn {
			to.WithdrawnKeys = append(to.WithdrawnKeys, string(k.ID))
		}
	}
}

// toRecord returns the KeyGiven record of a key.
func toRecord(k *Key) *ragwortv1.KeyGiven {
	g := &ragwortv1.KeyGiven{
		Key: string(k.ID), Digest: append([]byte(nil), k.Digest[:]...), Workspace: string(k.Workspace), Comment: k.Comment,
	}
	for _, c := range k.Classes {
		g.Classes = append(g.Classes, string(c))
	}
	return g
}

// Restore replaces the table's content with that of a snapshot.
func (t *Table) Restore(from *ragwortv1.State) {
	fresh := NewTable()
	for _, g := range from.GetKeys() {
		fresh.ApplyGiven(g)
	}
	for _, k := range from.GetWithdrawnKeys() {
		fresh.ApplyWithdrawn(&ragwortv1.KeyWithdrawn{Key: k})
	}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.keys = fresh.shards[i].keys
		s.mu.Unlock()
	}
}
