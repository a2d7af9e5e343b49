package emulator

// This file defines partCache, the memory of an engine.

import (
	"container/list"

	"github.com/ragwortpass/ragwortpass/id"
)

// partKey identifies a part of a prompt that an engine has read for a model.
type partKey struct {
	model id.Model
	part  id.PromptPart
}

// cachedPart is a part in the memory of an engine.
type cachedPart struct {
	key    partKey
	tokens id.Tokens
	users  int           // running requests that need it
	idle   *list.Element // its place among the parts that may yield; nil: it has users
}

// partCache holds the parts of prompts that an engine has read. Parts that no running request
// needs yield, the least recently used one first.
type partCache struct {
	used  id.Tokens // of all parts, and of running requests beyond these
	parts map[partKey]*cachedPart
	idle  *list.List // of *cachedPart, the least recently used one first
}

func newPartCache() *partCache {
	return &partCache{parts: make(map[partKey]*cachedPart), idle: list.New()}
}

// use keeps a part from yielding. It returns false if the part is not cached.
func (c *partCache) use(key partKey) bool {
	p := c.parts[key]
	if p == nil {
		return false
	}
	p.users++
	if p.idle != nil {
		c.idle.Remove(p.idle)
		p.idle = nil
	}
	return true
}

// keep adds a part with one user. If another request has read it meanwhile, that copy is used.
func (c *partCache) keep(key partKey, tokens id.Tokens) {
	if c.use(key) {
		return
	}
	c.parts[key] = &cachedPart{key: key, tokens: tokens, users: 1}
	c.used += tokens
}

// unuse ends a use of a part.
func (c *partCache) unuse(key partKey) {
	p := c.parts[key]
	if p.users--; p.users == 0 {
		p.idle = c.idle.PushBack(p)
	}
}

// evict drops the least recently used part that no running request needs, or returns false if
// there is none.
func (c *partCache) evict() bool {
	front := c.idle.Front()
	if front == nil {
		return false
	}
	p := c.idle.Remove(front).(*cachedPart)
	delete(c.parts, p.key)
	c.used -= p.tokens
	return true
}
