package sippool

import (
	"slices"
	"sync"
)

// maxInDoubt bounds the calls that are remembered as in doubt.
const maxInDoubt = 4096

// inDoubtCalls remembers which calls must not be attempted again at a pool, because a message of an earlier attempt may
// still be on its way there.
//
// Order holds within a connection only. On one that this side has given up an INVITE, a CANCEL or a BYE may be received
// at any later time: pools match by Call-ID alone, so that it would end, cancel or repeat a call that was set up on the
// next connection under the same Call-ID.
//
// It does no I/O and reads no clock. It has a lock of its own, which is taken last.
type inDoubtCalls struct {
	mu     sync.Mutex
	places map[string][]inDoubtPlace // by Call-ID
	// fullUntil is until when every repeated attempt counts as in doubt, as there was no room for one that is; 0: none.
	fullUntil int64
}

// inDoubtPlace is a pool where a call is in doubt. The same process may be listed under another id, or elsewhere.
type inDoubtPlace struct {
	uid        string
	address    string
	connection connectionID // on which the message was written
	until      int64        // no attempt of the call is made after this
}

func newInDoubtCalls() *inDoubtCalls { return &inDoubtCalls{places: map[string][]inDoubtPlace{}} }

// add notes that a call is in doubt at a pool until its last attempt can have been made.
func (d *inDoubtCalls) add(now int64, callID string, place inDoubtPlace) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now >= place.until {
		return
	}
	known := d.places[callID]
	if slices.Contains(known, place) {
		return
	}
	if len(known) == 0 && len(d.places) >= maxInDoubt {
		d.expire(now)
	}
	if len(known) == 0 && len(d.places) >= maxInDoubt {
		d.fullUntil = max(d.fullUntil, place.until)
		return
	}
	d.places[callID] = append(known, place)
}

// contains reports whether a repeated attempt of the call must not be made at the pool.
func (d *inDoubtCalls) contains(now int64, callID, uid, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now < d.fullUntil {
		return true
	}
	return slices.ContainsFunc(d.places[callID], func(place inDoubtPlace) bool {
		return now < place.until && (place.uid == uid || place.address == address)
	})
}

// settle forgets the calls that were in doubt for what was written on a connection: the pool receives nothing more of
// it.
func (d *inDoubtCalls) settle(connection connectionID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drop(func(place inDoubtPlace) bool { return place.connection == connection })
}

// expire drops the calls of which no attempt can be made any more. The caller holds mu.
func (d *inDoubtCalls) expire(now int64) {
	d.drop(func(place inDoubtPlace) bool { return now >= place.until })
}

// drop drops the places that match, and the calls that are in doubt nowhere else. The caller holds mu.
func (d *inDoubtCalls) drop(matches func(inDoubtPlace) bool) {
	for callID, places := range d.places {
		places = slices.DeleteFunc(places, matches)
		if len(places) == 0 {
			delete(d.places, callID)
		} else {
			d.places[callID] = places
		}
	}
}
