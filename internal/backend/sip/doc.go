// Package sip frames, parses and serializes the messages of the connections to sync pools: the subset of SIP (RFC 3261)
// over TCP that the platform's protocol page names. A message, head and body, holds at most 16 KiB.
//
// Errors of [Read] say whether the stream can still be read: after ErrMalformed the next message begins at a known
// place, after ErrFraming it does not.
package sip
