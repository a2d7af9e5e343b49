package gateway

// This file defines guardedDecoder, which makes a record that a decoder cannot deal with an unreadable one.

import (
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/pool"
)

// guardedDecoder is a RecordDecoder that returns a panic as an error. A follower would otherwise read
// the record again and again, at every gateway and after each restart, and never those after it.
type guardedDecoder struct{ RecordDecoder }

var _ RecordDecoder = guardedDecoder{}

// DecodeChange implements RecordDecoder.
func (d guardedDecoder) DecodeChange(r feed.Record) (change OperatorChange, err error) {
	err = guard.Catch("decode_change", func() error {
		var err error
		change, err = d.RecordDecoder.DecodeChange(r)
		return err
	})
	return change, err
}

// DecodeListing implements RecordDecoder.
func (d guardedDecoder) DecodeListing(r feed.Record) (listing pool.Listing, err error) {
	err = guard.Catch("decode_listing", func() error {
		var err error
		listing, err = d.RecordDecoder.DecodeListing(r)
		return err
	})
	return listing, err
}
