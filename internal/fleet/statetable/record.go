package statetable

import (
	"bytes"
	"slices"
)

// maxReassemblies is how many versions of a value are reassembled at a time. With two, a value that changes while its
// fragments arrive is not started over at each change.
const maxReassemblies = 2

// record is the state of one key: its newest complete entry, and newer versions of which some fragments arrived.
type record struct {
	Entry
	complete     bool // Entry is valid
	reassemblies []reassembly

	// The fields below matter for this member's own values alone.
	pending     []byte // the value to publish once the current one is disseminated, nil for none
	transmitted bool   // a fragment of the current version was sent
}

// reassembly collects the fragments of one version.
type reassembly struct {
	Stamp
	count     int
	received  fragmentSet
	fragments [maxFragments][]byte
}

func (r *reassembly) add(f fragment) {
	r.received.add(f.index)
	r.fragments[f.index] = f.data
}

func (r *reassembly) isComplete() bool { return r.received.size() >= r.count }

func (r *reassembly) value() []byte { return bytes.Join(r.fragments[:r.count], nil) }

// supersedes reports whether the record holds a complete entry newer than the stamp.
func (r *record) supersedes(stamp Stamp) bool { return r.complete && r.Compare(stamp) > 0 }

// store makes an entry the current one, and drops the reassemblies that it supersedes.
func (r *record) store(entry Entry) {
	r.Entry, r.complete = entry, true
	r.reassemblies = slices.DeleteFunc(r.reassemblies, func(other reassembly) bool {
		return other.Compare(entry.Stamp) <= 0
	})
}

// find returns the reassembly of a version, nil where none of its fragments arrived.
func (r *record) find(stamp Stamp) *reassembly {
	for i := range r.reassemblies {
		if r.reassemblies[i].Stamp == stamp {
			return &r.reassemblies[i]
		}
	}
	return nil
}

// reassemblyFor finds or starts the reassembly of a fragment's version. It returns nil where newer versions occupy all
// places, or where the fragment's count contradicts the fragments that arrived before.
func (r *record) reassemblyFor(f fragment) *reassembly {
	if existing := r.find(f.Stamp); existing != nil {
		if existing.count != f.count {
			return nil
		}
		return existing
	}
	if len(r.reassemblies) >= maxReassemblies && !r.evictOlder(f.Stamp) {
		return nil
	}
	r.reassemblies = append(r.reassemblies, reassembly{Stamp: f.Stamp, count: f.count})
	return &r.reassemblies[len(r.reassemblies)-1]
}

// evictOlder drops the oldest reassembly; it reports false where none is older than the stamp.
func (r *record) evictOlder(stamp Stamp) bool {
	oldest := 0
	for i := range r.reassemblies {
		if r.reassemblies[i].Compare(r.reassemblies[oldest].Stamp) < 0 {
			oldest = i
		}
	}
	if r.reassemblies[oldest].Compare(stamp) > 0 {
		return false
	}
	r.reassemblies = slices.Delete(r.reassemblies, oldest, oldest+1)
	return true
}

// received returns which fragments of a version arrived that is not complete yet.
func (r *record) received(stamp Stamp) fragmentSet {
	if incoming := r.find(stamp); incoming != nil {
		return incoming.received
	}
	return 0
}

// newest returns the newest version of which anything arrived, and which of its fragments did.
func (r *record) newest() (Stamp, fragmentSet) {
	stamp, received := r.Stamp, allFragments
	for i := range r.reassemblies {
		if incoming := &r.reassemblies[i]; incoming.Compare(stamp) > 0 {
			stamp, received = incoming.Stamp, incoming.received
		}
	}
	return stamp, received
}
