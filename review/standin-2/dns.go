package main

import (
	"encoding/binary"
	"net"
	"strings"
	"sync"
)

// Types of DNS records (RFC 1035, RFC 2782).
const (
	typeA   = 1
	typeSRV = 33
)

// dnsServer answers one SRV name with one target and its address, over UDP.
type dnsServer struct {
	rec    *record
	addr   string
	name   string // of the SRV record
	target string
	port   int
	ttl    uint32

	mu      sync.Mutex
	address net.IP // of the target
	silent  bool   // no query is answered
	empty   bool   // the name has no records
}

func startDNS(rec *record, name, target string, address net.IP, port int, ttl uint32) (*dnsServer, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &dnsServer{
		rec: rec, addr: conn.LocalAddr().String(), name: name, target: target, port: port, ttl: ttl, address: address,
	}
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			if reply := s.reply(buffer[:n]); reply != nil {
				_, _ = conn.WriteTo(reply, from)
			}
		}
	}()
	return s, nil
}

// silence ends the server's answers.
func (s *dnsServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	s.rec.logf("dns: nothing is answered from now on")
}

// withdraw takes the name's records away.
func (s *dnsServer) withdraw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.empty = true
	s.rec.logf("dns: %s has no records from now on", s.name)
}

// reply answers a query with one question.
func (s *dnsServer) reply(query []byte) []byte {
	if len(query) < 12 || binary.BigEndian.Uint16(query[4:]) != 1 {
		return nil
	}
	name, end := readName(query, 12)
	if end+4 > len(query) {
		return nil
	}
	qtype := binary.BigEndian.Uint16(query[end:])
	question := query[12 : end+4]
	s.mu.Lock()
	address, silent, empty := s.address, s.silent, s.empty
	s.mu.Unlock()
	if silent {
		return nil
	}
	var answers, additional [][]byte
	addressRecord := resourceRecord(s.target, typeA, s.ttl, address.To4())
	switch {
	case empty:
	case strings.EqualFold(name, s.name) && qtype == typeSRV:
		data := binary.BigEndian.AppendUint16(make([]byte, 4), uint16(s.port)) // priority 0, weight 0
		answers = append(answers, resourceRecord(s.name, typeSRV, s.ttl, append(data, encodeName(s.target)...)))
		additional = append(additional, addressRecord)
	case strings.EqualFold(name, s.target) && qtype == typeA:
		answers = append(answers, addressRecord)
	}
	reply := append([]byte{}, query[:2]...)
	reply = append(reply, 0x84, 0x00, 0, 1)
	reply = binary.BigEndian.AppendUint16(reply, uint16(len(answers)))
	reply = append(reply, 0, 0)
	reply = binary.BigEndian.AppendUint16(reply, uint16(len(additional)))
	reply = append(reply, question...)
	for _, record := range append(answers, additional...) {
		reply = append(reply, record...)
	}
	return reply
}

func readName(message []byte, at int) (name string, end int) {
	var labels []string
	for at < len(message) && message[at] != 0 {
		length := int(message[at])
		if length > 63 || at+1+length > len(message) {
			return "", len(message)
		}
		labels = append(labels, string(message[at+1:at+1+length]))
		at += 1 + length
	}
	return strings.Join(labels, "."), at + 1
}

func encodeName(name string) []byte {
	var encoded []byte
	for label := range strings.SplitSeq(name, ".") {
		encoded = append(append(encoded, byte(len(label))), label...)
	}
	return append(encoded, 0)
}

func resourceRecord(name string, recordType uint16, ttl uint32, data []byte) []byte {
	record := encodeName(name)
	record = binary.BigEndian.AppendUint16(record, recordType)
	record = append(record, 0, 1)
	record = binary.BigEndian.AppendUint32(record, ttl)
	record = binary.BigEndian.AppendUint16(record, uint16(len(data)))
	return append(record, data...)
}
