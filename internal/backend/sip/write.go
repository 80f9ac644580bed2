package sip

import "strconv"

// Append appends the serialized message, with a Content-Length header, to b. Call-ID and CSeq come from their own
// fields and must not be among the headers.
func (m *Message) Append(b []byte) []byte {
	b = m.appendStartLine(b)
	for _, header := range m.Headers {
		b = appendHeader(b, header.Name, header.Value)
	}
	if m.CallID != "" {
		b = appendHeader(b, "Call-ID", m.CallID)
	}
	if m.CSeqMethod != "" {
		b = appendHeader(b, "CSeq", strconv.Itoa(m.CSeq)+" "+m.CSeqMethod)
	}
	b = appendHeader(b, "Content-Length", strconv.Itoa(len(m.Body)))
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

func (m *Message) appendStartLine(b []byte) []byte {
	if m.Status > 0 {
		b = append(b, version+" "...)
		b = strconv.AppendInt(b, int64(m.Status), 10)
		b = append(append(b, ' '), m.Reason...)
	} else {
		b = append(append(b, m.Method...), ' ')
		b = append(append(b, m.URI...), " "+version...)
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}
