// Package key defines callers' keys: how they are made, stored and checked.
//
// A key reads rw_<id>_<secret>. Only the SHA-256 digest of the secret is kept.
// A table folds the log's KeyGiven and KeyWithdrawn records; it is split in
// shards, each under its own lock, since every request looks a key up.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	prefix      = "rw_"
	secretBytes = 24
	shardCount  = 16
)

// Key is what the table knows of a key.
type Key struct {
	ID        id.Key
	Digest    [sha256.Size]byte
	Workspace id.Workspace
	Classes   []id.Class // empty: every class
	Comment   string
	Withdrawn bool
}

// UnknownError says that a presented key is not one that was given.
type UnknownError struct{ Key id.Key }

func (e *UnknownError) Error() string { return fmt.Sprintf("key %q is not known", e.Key) }

// WithdrawnError says that a presented key has been withdrawn.
type WithdrawnError struct{ Key id.Key }

func (e *WithdrawnError) Error() string { return fmt.Sprintf("key %q is withdrawn", e.Key) }

// MalformedError says that a presented text does not have the form of a key.
type MalformedError struct{}

func (e *MalformedError) Error() string { return "malformed key: expected rw_<id>_<secret>" }

// Secret is the text a caller presents. It never appears in logs.
type Secret string

// String hides the secret.
func (Secret) String() string { return "rw_***" }

// Generate returns a new key's text and its record.
func Generate(now time.Time, ws id.Workspace, classes []id.Class, comment string) (Secret, *ragwortv1.KeyGiven) {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	kid := strings.TrimPrefix(id.New("k", now), "k_")
	secret := base64.RawURLEncoding.EncodeToString(raw)
	digest := sha256.Sum256([]byte(secret))
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = string(c)
	}
	rec := &ragwortv1.KeyGiven{
		Key: kid, Digest: digest[:], Workspace: string(ws), Classes: names, Comment: comment,
	}
	return Secret(prefix + kid + "_" + secret), rec
}

// Allows reports whether the key may use class c.
func (k *Key) Allows(c id.Class) bool {
	return len(k.Classes) == 0 || slices.Contains(k.Classes, c)
}

// Table holds every key ever given, as folded from the log.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu   sync.RWMutex
	keys map[id.Key]*Key
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].keys = make(map[id.Key]*Key)
	}
	return t
}

func (t *Table) shard(k id.Key) *shard {
	return &t.shards[xxhash.Sum64String(string(k))%shardCount]
}

// ApplyGiven folds a KeyGiven record. It reports false if the id was used before or
// the record is malformed, in which case nothing changes.
func (t *Table) ApplyGiven(r *ragwortv1.KeyGiven) bool {
	if r.GetKey() == "" || r.GetWorkspace() == "" || len(r.GetDigest()) != sha256.Size {
		return false
	}
	k := &Key{ID: id.Key(r.GetKey()), Workspace: id.Workspace(r.GetWorkspace()), Comment: r.GetComment()}
	copy(k.Digest[:], r.GetDigest())
	for _, c := range r.GetClasses() {
		k.Classes = append(k.Classes, id.Class(c))
	}
	s := t.shard(k.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, used := s.keys[k.ID]; used {
		return false
	}
	s.keys[k.ID] = k
	return true
}

// ApplyWithdrawn folds a KeyWithdrawn record. The id stays in the table, so that it is
// never given again; this also holds for an id that was never given.
func (t *Table) ApplyWithdrawn(r *ragwortv1.KeyWithdrawn) bool {
	kid := id.Key(r.GetKey())
	s := t.shard(kid)
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keys[kid]
	if ok && k.Withdrawn {
		return false
	}
	c := Key{ID: kid}
	if ok {
		c = *k
	}
	c.Withdrawn = true
	s.keys[kid] = &c
	return true
}

// Find returns the key with the given id; its error is an *UnknownError or a
// *WithdrawnError.
func (t *Table) Find(kid id.Key) (*Key, error) {
	k := t.lookup(kid)
	switch {
	case k == nil:
		return nil, &UnknownError{Key: kid}
	case k.Withdrawn:
		return nil, &WithdrawnError{Key: kid}
	}
	return k, nil
}

// Authenticate returns the key that a caller presents. The secret is compared before
// anything else is looked at and in constant time, also for an id that was never
// given: a caller without the right secret learns nothing about the id. Its error
// is a *MalformedError, *UnknownError or *WithdrawnError.
func (t *Table) Authenticate(presented Secret) (*Key, error) {
	kid, secret, ok := split(presented)
	if !ok {
		return nil, &MalformedError{}
	}
	k := t.lookup(kid)
	known := 1
	if k == nil || k.Workspace == "" { // never given
		k, known = &Key{}, 0
	}
	digest := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare(digest[:], k.Digest[:])&known != 1 {
		return nil, &UnknownError{Key: kid}
	}
	if k.Withdrawn {
		return nil, &WithdrawnError{Key: kid}
	}
	return k, nil
}

// lookup returns the key with the given id, withdrawn or not, or nil.
func (t *Table) lookup(kid id.Key) *Key {
	s := t.shard(kid)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keys[kid]
}

// All returns every key in the order of their ids.
func (t *Table) All() []*Key {
	var all []*Key
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, k := range s.keys {
			all = append(all, k)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b *Key) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

func split(s Secret) (id.Key, string, bool) {
	rest, ok := strings.CutPrefix(string(s), prefix)
	if !ok {
		return "", "", false
	}
	kid, secret, ok := strings.Cut(rest, "_")
	if !ok || kid == "" || secret == "" {
		return "", "", false
	}
	return id.Key(kid), secret, true
}
