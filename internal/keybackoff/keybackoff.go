// Package keybackoff keeps exponential backoffs by key, in a table of bounded size.
//
// Each failure of a key starts a backoff, twice as long as the one before up to a multiple of the first. One that
// ended long ago is forgotten when Active is asked for its key, and all are when the table is full. How long the first
// one is, and what to do with a key in backoff, is the caller's decision. A Table does no locking and reads no clock.
package keybackoff

import "time"

// Table holds the backoffs of its keys. Make it with New.
type Table struct {
	maxKeys     int
	maxMultiple time.Duration
	backoffs    map[uint64]backoff
}

type backoff struct{ until, length time.Duration }

// New returns an empty table for maxKeys keys. maxMultiple bounds a backoff, in lengths of the first one; it is also
// how many times its length a backoff is remembered after its end.
func New(maxKeys, maxMultiple int) *Table {
	return &Table{maxKeys: maxKeys, maxMultiple: time.Duration(maxMultiple), backoffs: map[uint64]backoff{}}
}

// Fail starts a backoff of the key at the reading now, of length first or double the one remembered.
func (t *Table) Fail(now time.Duration, key uint64, first time.Duration) {
	if len(t.backoffs) >= t.maxKeys {
		clear(t.backoffs)
	}
	length := min(max(2*t.backoffs[key].length, first), t.maxMultiple*first)
	t.backoffs[key] = backoff{now + length, length}
}

// Active reports whether the key is in backoff at the reading now. One that ended long ago is forgotten.
func (t *Table) Active(now time.Duration, key uint64) bool {
	latest, known := t.backoffs[key]
	if known && now > latest.until+t.maxMultiple*latest.length {
		delete(t.backoffs, key)
	}
	return known && now < latest.until
}

// Remaining returns how long the key's backoff still lasts, 0 when it is in none.
func (t *Table) Remaining(now time.Duration, key uint64) time.Duration {
	return max(0, t.backoffs[key].until-now)
}

// Len returns the number of keys remembered.
func (t *Table) Len() int { return len(t.backoffs) }
