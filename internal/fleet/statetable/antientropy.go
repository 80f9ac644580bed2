package statetable

import (
	"hash/crc32"
	"slices"
)

// blockSize is how many members one hash of a digest covers.
func (t *Table) blockSize() int { return (t.cfg.Members + maxBlocks - 1) / maxBlocks }

// blockCount is how many hashes a digest has.
func (t *Table) blockCount() int { return (t.cfg.Members + t.blockSize() - 1) / t.blockSize() }

// invalidateBlock has the hash of an origin's block computed anew.
func (t *Table) invalidateBlock(origin int) { t.blockHashes[origin/t.blockSize()] = 0 }

// completeKeys returns the keys with complete values of the origins from first to before end, in order.
func (t *Table) completeKeys(first, end int) []entryKey {
	var keys []entryKey
	for origin := first; origin < min(end, t.cfg.Members); origin++ {
		for _, spec := range t.cfg.Kinds {
			key := entryKey{origin, spec.Kind}
			if held := t.records[key]; held != nil && held.complete {
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, entryKey.compare)
	return keys
}

// blockHash returns the CRC-32 over the stamps of a block. It is never 0, which marks a hash to be computed.
func (t *Table) blockHash(block int) uint32 {
	if t.blockHashes[block] != 0 {
		return t.blockHashes[block]
	}
	size := t.blockSize()
	sum := uint32(0)
	encoded := make([]byte, 0, stampedKeySize)
	for _, key := range t.completeKeys(block*size, (block+1)*size) {
		encoded = appendStamped(encoded[:0], key, t.records[key].Stamp)
		sum = crc32.Update(sum, crc32.IEEETable, encoded)
	}
	t.blockHashes[block] = max(sum, 1)
	return t.blockHashes[block]
}

// digest returns the body with the hashes of all blocks.
func (t *Table) digest() []byte {
	hashes := make([]uint32, t.blockCount())
	for block := range hashes {
		hashes[block] = t.blockHash(block)
	}
	return encodeDigest(hashes)
}

// receiveDigest answers a digest with the summaries of the blocks that differ, in random order: if they are too many
// for one answer, later digests reach the others.
func (t *Table) receiveDigest(from int, payload []byte) ([][]byte, error) {
	if want := hashSize * t.blockCount(); len(payload) != want {
		return nil, t.rejectMessage(from, "a digest of %d bytes, not %d: another number of members", len(payload), want)
	}
	var differing []int
	for block, hash := range decodeDigest(payload) {
		if hash != t.blockHash(block) {
			differing = append(differing, block)
		}
	}
	t.rng.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	size := t.blockSize()
	var replies [][]byte
	for _, block := range differing {
		replies = append(replies, t.summaries(block*size, (block+1)*size)...)
		if len(replies) >= maxReplies {
			break
		}
	}
	return replies, nil
}

// summaries returns bodies with the versions held of the origins from first to before end; they request what is newer.
// Each body states the range of keys that it covers, so the receiver knows that a key of it that is not listed is
// missing here.
func (t *Table) summaries(first, end int) [][]byte {
	end = min(end, t.cfg.Members)
	keys := t.completeKeys(first, end)
	var bodies [][]byte
	start := entryKey{origin: first}
	for {
		listed := min(len(keys), maxSummaryLines)
		message := summary{replyWanted: true, start: start, end: entryKey{origin: end}}
		if listed < len(keys) {
			message.end = keys[listed]
		}
		for _, key := range keys[:listed] {
			stamp, received := t.records[key].newest()
			message.lines = append(message.lines, summaryLine{key, stamp, received})
		}
		bodies = append(bodies, message.encode())
		if keys, start = keys[listed:], message.end; len(keys) == 0 {
			return bodies
		}
	}
}

// receiveSummary answers with the fragments that the sender is missing, and requests those that are missing here.
func (t *Table) receiveSummary(from int, payload []byte) ([][]byte, error) {
	message, ok := parseSummary(payload)
	if !ok {
		return nil, t.rejectMessage(from, "lines of %d bytes", len(payload))
	}
	if message.start.origin > message.end.origin || message.end.origin > t.cfg.Members {
		return nil, t.rejectMessage(from, "lines of members %d to %d", message.start.origin, message.end.origin)
	}
	var repairs fragmentPacker
	var requests summary
	for _, line := range message.lines {
		if line.key.origin >= t.cfg.Members || t.cfg.spec(line.key.kind) == nil {
			t.counts.Unknown++
			continue
		}
		held := t.records[line.key]
		switch {
		case held != nil && held.supersedes(line.stamp):
			t.repair(&repairs, line.key, held.Entry, 0)
		case held != nil && held.complete && held.Stamp == line.stamp:
			t.repair(&repairs, line.key, held.Entry, line.received)
		case message.replyWanted && line.received == allFragments && line.key.origin != t.cfg.Self:
			requests.request(line.key, line.stamp, held)
		}
	}
	if message.replyWanted {
		t.repairUnlisted(&repairs, message)
	}
	replies := repairs.finish()
	if len(requests.lines) > 0 { // first, as the number of replies is bounded and values of others are worth more here
		replies = append([][]byte{requests.encode()}, replies...)
	}
	return replies, nil
}

// request adds a line that asks for the fragments of a version which have not arrived, while there is space for it.
func (s *summary) request(key entryKey, stamp Stamp, held *record) {
	if len(s.lines) >= maxSummaryLines {
		return
	}
	line := summaryLine{key: key, stamp: stamp}
	if held != nil {
		line.received = held.received(stamp)
	}
	s.lines = append(s.lines, line)
}

// repairUnlisted adds the values in a summary's range of keys that it does not list: its sender has none of them.
func (t *Table) repairUnlisted(repairs *fragmentPacker, message summary) {
	listed := map[entryKey]bool{}
	for _, line := range message.lines {
		listed[line.key] = true
	}
	for _, key := range t.completeKeys(message.start.origin, message.end.origin+1) {
		if !listed[key] && key.compare(message.start) >= 0 && key.compare(message.end) < 0 {
			t.repair(repairs, key, t.records[key].Entry, 0)
		}
	}
}

// repair adds the fragments of an entry that are not in received. It starts at a random one: the number of replies is
// bounded, so the same first fragments would be sent again and again.
func (t *Table) repair(repairs *fragmentPacker, key entryKey, entry Entry, received fragmentSet) {
	count := fragmentCount(len(entry.Value))
	first := t.rng.IntN(count)
	for offset := range count {
		index := (first + offset) % count
		if !received.has(index) {
			t.counts.Repairs++
			repairs.add(fragmentOf(key, entry, index))
		}
	}
}
