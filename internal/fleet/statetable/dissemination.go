package statetable

import (
	"math"
	"slices"
)

const (
	// maxPublishDelay is for how many intervals a version waits at most for the one before.
	maxPublishDelay = 40
	// maxSkippedUpdates is how many updates that do not fit into a body are skipped in search of one that does.
	maxSkippedUpdates = 8
)

// update is a fragment that this member transmits to others.
type update struct {
	fragment
	transmissions int
}

// updateQueue holds the updates that have transmissions left. Those that were not transmitted yet go first.
type updateQueue struct {
	untransmitted []update
	transmitted   []update
}

func (q *updateQueue) add(f fragment) { q.untransmitted = append(q.untransmitted, update{fragment: f}) }

func (q *updateQueue) contains(key entryKey) bool {
	matches := func(u update) bool { return u.entryKey == key }
	return slices.ContainsFunc(q.untransmitted, matches) || slices.ContainsFunc(q.transmitted, matches)
}

// disseminating reports whether the current version of an own value is still under way: its fragments are transmitted
// here, or are likely to be elsewhere. Without this, a long value that changes often would be complete at no member:
// the next version waits for the last to be disseminated, but no longer than maxPublishDelay.
func (t *Table) disseminating(now int64, key entryKey, own *record) bool {
	if !own.transmitted {
		return false
	}
	age := now - own.At
	if age < int64(fragmentCount(len(own.Value))-1)*t.interval {
		return true
	}
	return age < maxPublishDelay*t.interval && t.updates.contains(key)
}

// publish makes a value the next version of an own entry, and queues its fragments.
func (t *Table) publish(now int64, key entryKey, own *record, value []byte) {
	stamp := Stamp{Incarnation: t.incarnation, Version: own.Version + 1}
	if own.Incarnation < t.incarnation {
		stamp.Version = 1
	}
	own.Entry, own.complete = Entry{Stamp: stamp, Value: slices.Clone(value), At: now}, true
	own.pending, own.transmitted = nil, false
	t.invalidateBlock(key.origin)
	t.queueUpdates(key, own.Entry)
}

// publishPending publishes the own values that waited for their last versions.
func (t *Table) publishPending(now int64) {
	for _, spec := range t.cfg.Kinds {
		key := entryKey{t.cfg.Self, spec.Kind}
		if own := t.records[key]; own != nil && own.pending != nil && !t.disseminating(now, key, own) {
			t.publish(now, key, own, own.pending)
		}
	}
}

// queueUpdates queues every fragment of an entry.
func (t *Table) queueUpdates(key entryKey, entry Entry) {
	for index := range fragmentCount(len(entry.Value)) {
		t.updates.add(fragmentOf(key, entry, index))
	}
}

// maxTransmissions is how often this member transmits an update: logarithmic in the fleet's size, as in SWIM's
// section 4.1.
func (t *Table) maxTransmissions() int {
	return t.cfg.Retransmit * int(math.Ceil(math.Log10(float64(t.cfg.Members+1))))
}

// disseminate returns bodies of updates for each of the members.
func (t *Table) disseminate(members []int) []Out {
	var out []Out
	for _, to := range members {
		for range t.cfg.Packets {
			body := t.updatesBody()
			if body == nil {
				break
			}
			out = append(out, Out{to, body})
		}
	}
	return out
}

// updatesBody packs the updates with the fewest transmissions into one body, nil where there are none. A body counts as
// one transmission of each of its updates.
func (t *Table) updatesBody() []byte {
	body := []byte{byte(fragmentsMessage)}
	var remaining []update
	for _, queue := range []*[]update{&t.updates.untransmitted, &t.updates.transmitted} {
		var packed []update
		body, packed, *queue = t.packUpdates(body, *queue)
		remaining = append(remaining, packed...)
	}
	t.updates.transmitted = append(t.updates.transmitted, remaining...)
	if len(body) == 1 {
		return nil
	}
	return body
}

// packUpdates appends updates from the front of a queue to a body as long as they fit, and drops the superseded ones.
// It returns the body, the packed updates that have transmissions left, and the rest of the queue.
func (t *Table) packUpdates(body []byte, queue []update) (_ []byte, packed, rest []update) {
	var skipped []update
	for len(queue) > 0 {
		next := queue[0]
		fits := len(body)+next.encodedSize() <= maxBody
		if !fits && len(skipped) >= maxSkippedUpdates {
			break
		}
		queue = queue[1:]
		if !fits {
			skipped = append(skipped, next)
			continue
		}
		held := t.records[next.entryKey]
		if held == nil || held.supersedes(next.Stamp) {
			continue
		}
		body = appendFragment(body, next.fragment)
		held.transmitted = true
		if next.transmissions++; next.transmissions < t.maxTransmissions() {
			packed = append(packed, next)
		}
	}
	return body, packed, append(skipped, queue...)
}

// receiveFragments takes the fragments of a message.
func (t *Table) receiveFragments(now int64, from int, payload []byte) error {
	for len(payload) > 0 {
		received, rest, ok := parseFragment(payload)
		if !ok {
			return t.rejectMessage(from, "a fragment that is cut off, %d bytes before its end", len(payload))
		}
		payload = rest
		spec := t.cfg.spec(received.kind)
		switch {
		case spec == nil || received.origin >= t.cfg.Members:
			t.counts.Unknown++
		case received.count*fragmentBytes > roundUpToFragments(spec.MaxLength):
			return t.rejectMessage(from, "%d fragments of %s, whose values have at most %d bytes",
				received.count, spec.Name, spec.MaxLength)
		case received.origin == t.cfg.Self:
			t.refute(now, received.entryKey, received.Stamp)
		default:
			t.receiveFragment(now, received)
		}
	}
	return nil
}

// receiveFragment takes one fragment of another member's value.
func (t *Table) receiveFragment(now int64, received fragment) {
	held := t.records[received.entryKey]
	if held == nil {
		held = &record{}
		t.records[received.entryKey] = held
	}
	if held.complete && received.Compare(held.Stamp) <= 0 {
		t.counts.Stale++
		return
	}
	incoming := held.reassemblyFor(received)
	if incoming == nil || incoming.received.has(received.index) {
		t.counts.Stale++
		return
	}
	received.data = slices.Clone(received.data) // the body belongs to the caller
	incoming.add(received)
	// A fragment is relayed at once, not only when its value is complete. Otherwise a long value that changes often
	// would come from its origin alone, which has not the datagrams for all members.
	t.updates.add(received)
	if !incoming.isComplete() {
		return
	}
	held.store(Entry{Stamp: incoming.Stamp, Value: incoming.value(), At: now})
	t.changes = append(t.changes, Change{Origin: received.origin, Kind: received.kind, Entry: held.Entry})
	t.invalidateBlock(received.origin)
}

// refute supersedes a value of this member's own that others hold for newer than what it publishes: one of an earlier
// start whose clock was ahead. All own values are published again with an incarnation above it.
func (t *Table) refute(now int64, key entryKey, claimed Stamp) {
	current := Stamp{Incarnation: t.incarnation}
	if own := t.records[key]; own != nil {
		current = own.Stamp
	}
	if claimed.Compare(current) <= 0 {
		return
	}
	t.incarnation = claimed.Incarnation + 1
	for ownKey, own := range t.records {
		if ownKey.origin == t.cfg.Self {
			own.Stamp, own.At = Stamp{Incarnation: t.incarnation, Version: 1}, now
			t.invalidateBlock(ownKey.origin)
			t.queueUpdates(ownKey, own.Entry)
		}
	}
}
