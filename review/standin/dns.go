package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
)

// dnsServer answers the one SRV name that it serves, over UDP, with the addresses of the targets in the additional
// section, as RFC 2782 has it; a question for a target's A record is answered, too.
type dnsServer struct {
	rec  *record
	conn *net.UDPConn
	addr string
	name string
	ttl  uint32

	mu      sync.Mutex
	targets []srvTarget
}

type srvTarget struct {
	host string
	ip   net.IP
	port int
}

func newDNS(rec *record, name string, ttl uint32) (*dnsServer, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	d := &dnsServer{rec: rec, conn: conn, addr: conn.LocalAddr().String(), name: name, ttl: ttl}
	go d.serve()
	return d, nil
}

func (d *dnsServer) set(targets ...srvTarget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = targets
	d.rec.logf("dns: %s is %+v, TTL %d s", d.name, targets, d.ttl)
}

func (d *dnsServer) serve() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := d.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if answer := d.answer(buffer[:n]); answer != nil {
			d.conn.WriteToUDP(answer, from)
		}
	}
}

func dnsName(name string) []byte {
	var b []byte
	for _, label := range strings.Split(strings.TrimSuffix(name, "."), ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

func dnsRecord(b []byte, name string, kind uint16, ttl uint32, data []byte) []byte {
	b = append(b, dnsName(name)...)
	b = binary.BigEndian.AppendUint16(b, kind)
	b = binary.BigEndian.AppendUint16(b, 1)
	b = binary.BigEndian.AppendUint32(b, ttl)
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	return append(b, data...)
}

func (d *dnsServer) answer(query []byte) []byte {
	if len(query) < 12 || binary.BigEndian.Uint16(query[4:]) != 1 {
		return nil
	}
	var labels []string
	at := 12
	for at < len(query) && query[at] != 0 {
		length := int(query[at])
		if at+1+length >= len(query) {
			return nil
		}
		labels = append(labels, string(query[at+1:at+1+length]))
		at += 1 + length
	}
	if at+5 > len(query) {
		return nil
	}
	question := query[12 : at+5]
	kind := binary.BigEndian.Uint16(query[at+1:])
	name := strings.ToLower(strings.Join(labels, "."))
	d.mu.Lock()
	defer d.mu.Unlock()
	var answers, extra []byte
	var answerCount, extraCount uint16
	known := name == d.name
	for _, t := range d.targets {
		a := dnsRecord(nil, t.host, 1, d.ttl, t.ip.To4())
		if name == d.name && kind == 33 {
			data := binary.BigEndian.AppendUint16([]byte{0, 10, 0, 10}, uint16(t.port))
			answers = dnsRecord(answers, d.name, 33, d.ttl, append(data, dnsName(t.host)...))
			answerCount++
			extra, extraCount = append(extra, a...), extraCount+1
		}
		if name == t.host {
			known = true
			if kind == 1 {
				answers, answerCount = append(answers, a...), answerCount+1
			}
		}
	}
	flags := uint16(0x8580) // an authoritative response
	if !known {
		flags |= 3
	}
	b := append([]byte(nil), query[:2]...)
	b = binary.BigEndian.AppendUint16(b, flags)
	b = binary.BigEndian.AppendUint16(b, 1)
	b = binary.BigEndian.AppendUint16(b, answerCount)
	b = binary.BigEndian.AppendUint16(b, 0)
	b = binary.BigEndian.AppendUint16(b, extraCount)
	b = append(b, question...)
	b = append(b, answers...)
	b = append(b, extra...)
	d.rec.logf("dns: answered %s type %d with %d records", name, kind, answerCount)
	return b
}

func (t srvTarget) String() string { return fmt.Sprintf("%s=%s:%d", t.host, t.ip, t.port) }
