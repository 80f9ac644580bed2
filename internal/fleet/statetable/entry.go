package statetable

import "cmp"

// Kind identifies what a value describes. Kinds travel in messages, so the number of a retired kind stays reserved.
type Kind uint8

// The kinds of this program.
const (
	Region   Kind = 1 // the name of a member's region
	Versions Kind = 2 // the versions of the inputs that a member acts on
	Sketch   Kind = 3 // a sketch of the numbers that a member saw called
)

// Stamp orders the values of one origin and kind: by the origin's incarnation, then by the version within it.
type Stamp struct {
	Incarnation uint64
	Version     uint32
}

// Compare is negative where s is older than other, and zero where they are equal.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Incarnation, other.Incarnation), cmp.Compare(s.Version, other.Version))
}

// Entry is a complete value with its stamp.
type Entry struct {
	Stamp
	Value []byte // read only
	At    int64  // when the value was complete at this member, µs
}

// Change reports that a value of another member was replaced.
type Change struct {
	Origin int
	Kind   Kind
	Entry
}

// entryKey identifies an entry: the member that published it, and its kind.
type entryKey struct {
	origin int
	kind   Kind
}

// compare orders keys by origin, then by kind.
func (k entryKey) compare(other entryKey) int {
	return cmp.Or(cmp.Compare(k.origin, other.origin), cmp.Compare(k.kind, other.kind))
}
