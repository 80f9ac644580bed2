package statetable

// fragmentHeadSize is the length of a fragment without its data: stamped key, index, count and length.
const fragmentHeadSize = stampedKeySize + 3

// encodedSize is the length of a fragment in a body.
func (f fragment) encodedSize() int { return fragmentHeadSize + len(f.data) }

func appendFragment(b []byte, f fragment) []byte {
	b = appendStamped(b, f.entryKey, f.Stamp)
	b = append(b, byte(f.index), byte(f.count), byte(len(f.data)))
	return append(b, f.data...)
}

// parseFragment reads the fragment at the front of b. It is not ok where it is cut off, or invalid.
func parseFragment(b []byte) (f fragment, rest []byte, ok bool) {
	if len(b) < fragmentHeadSize {
		return fragment{}, nil, false
	}
	reader := fieldReader(b)
	f.entryKey, f.Stamp = reader.stamped()
	f.index, f.count = int(reader.uint8()), int(reader.uint8())
	length := int(reader.uint8())
	if len(reader) < length {
		return fragment{}, nil, false
	}
	f.data = reader.take(length)
	return f, reader, f.isValid()
}

// isValid reports whether a member may send the fragment: its index is below its count, every fragment but the last is
// full, and none of several is empty.
func (f fragment) isValid() bool {
	length := len(f.data)
	switch {
	case f.count < 1 || f.count > maxFragments || f.index >= f.count || length > fragmentBytes:
		return false
	case f.index < f.count-1:
		return length == fragmentBytes
	default:
		return length > 0 || f.count == 1
	}
}

// fragmentPacker packs fragments into bodies, each filled before the next is begun.
type fragmentPacker struct {
	full    [][]byte
	current []byte
}

func (p *fragmentPacker) add(f fragment) {
	if len(p.current)+f.encodedSize() > maxBody {
		p.full = p.finish()
		p.current = nil
	}
	if len(p.current) == 0 {
		p.current = []byte{byte(fragmentsMessage)}
	}
	p.current = appendFragment(p.current, f)
}

// finish returns all bodies.
func (p *fragmentPacker) finish() [][]byte {
	if len(p.current) > 0 {
		return append(p.full, p.current)
	}
	return p.full
}
