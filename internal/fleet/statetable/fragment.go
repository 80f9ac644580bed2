package statetable

import "math/bits"

const (
	// fragmentBytes is the length of every fragment of a value but the last: one fragment with its head fits into a body.
	fragmentBytes = 160
	// maxFragments is how many fragments a value has at most: a summary has one bit for each.
	maxFragments = 32
)

// fragment is a piece of a value, as it travels.
type fragment struct {
	entryKey
	Stamp
	index, count int
	data         []byte
}

// fragmentCount is into how many fragments a value of that length is split; an empty value has one, too.
func fragmentCount(length int) int { return max(1, (length+fragmentBytes-1)/fragmentBytes) }

// roundUpToFragments is the length of a value whose last fragment is full.
func roundUpToFragments(length int) int { return fragmentCount(length) * fragmentBytes }

// fragmentOf returns the fragment of an entry with that index.
func fragmentOf(key entryKey, entry Entry, index int) fragment {
	start, end := index*fragmentBytes, min(len(entry.Value), (index+1)*fragmentBytes)
	return fragment{
		entryKey: key,
		Stamp:    entry.Stamp,
		index:    index,
		count:    fragmentCount(len(entry.Value)),
		data:     entry.Value[start:end],
	}
}

// fragmentSet is a set of fragment indexes of one value, a bit each.
type fragmentSet uint32

// allFragments is the set that a member reports of a complete value, however many fragments it has.
const allFragments fragmentSet = 1<<maxFragments - 1

func (s fragmentSet) has(index int) bool { return s>>index&1 == 1 }

func (s *fragmentSet) add(index int) { *s |= 1 << index }

func (s fragmentSet) size() int { return bits.OnesCount32(uint32(s)) }
