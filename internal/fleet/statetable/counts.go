package statetable

// Counts are a table's counters; all only grow.
type Counts struct {
	Bytes   uint64 // bytes of the bodies sent
	Packets uint64 // bodies sent
	Repairs uint64 // fragments sent because a digest or summary differed
	Stale   uint64 // fragments received that brought nothing new
	Unknown uint64 // items received of kinds that are not registered, or of members outside the fleet
	Invalid uint64 // messages rejected
}

// Counts returns the table's counters.
func (t *Table) Counts() Counts { return t.counts }

// countSent counts the bodies of an output, and returns it.
func (t *Table) countSent(out []Out) []Out {
	for _, outgoing := range out {
		t.counts.Packets++
		t.counts.Bytes += uint64(len(outgoing.Body))
	}
	return out
}
