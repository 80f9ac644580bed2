package statetable

import "encoding/binary"

const (
	summaryHeadSize = 1 + 2*keySize // without the type
	summaryLineSize = stampedKeySize + uint32Size
	// maxSummaryLines is how many lines fit into a summary.
	maxSummaryLines = (maxBody - typeSize - summaryHeadSize) / summaryLineSize
)

// replyWantedFlag is the value of the summary's first field where a reply is wanted; every other value means none.
const replyWantedFlag = 1

// summary states which versions its sender holds of the keys from start to before end. One that wants no reply is a
// request for the versions that it lists, and its range is empty.
type summary struct {
	replyWanted bool
	start, end  entryKey
	lines       []summaryLine
}

// summaryLine is the newest version held of a key, with the fragments of it that were received.
type summaryLine struct {
	key      entryKey
	stamp    Stamp
	received fragmentSet
}

// encode returns the message's body.
func (s summary) encode() []byte {
	flag := byte(0)
	if s.replyWanted {
		flag = replyWantedFlag
	}
	body := []byte{byte(summaryMessage), flag}
	body = appendKey(body, s.start)
	body = appendKey(body, s.end)
	for _, line := range s.lines {
		body = appendStamped(body, line.key, line.stamp)
		body = binary.BigEndian.AppendUint32(body, uint32(line.received))
	}
	return body
}

// parseSummary reads the payload of a summary. It is not ok where its length is none of a summary's.
func parseSummary(payload []byte) (s summary, ok bool) {
	if len(payload) < summaryHeadSize || (len(payload)-summaryHeadSize)%summaryLineSize != 0 {
		return summary{}, false
	}
	reader := fieldReader(payload)
	s.replyWanted = reader.uint8() == replyWantedFlag
	s.start, s.end = reader.key(), reader.key()
	for len(reader) > 0 {
		key, stamp := reader.stamped()
		s.lines = append(s.lines, summaryLine{key: key, stamp: stamp, received: fragmentSet(reader.uint32())})
	}
	return s, true
}
