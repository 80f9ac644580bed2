package fakeplatform

import (
	"net"
	"strings"

	"github.com/miekg/dns"
)

const (
	zone = "pools.example.org."
	// The records that an oversized answer has in addition.
	oversizeRecords, oversizeLabel = 200, 40
	oversizePort, oversizeTTL      = 5060, 5
)

// handler answers the queries that come over a network.
func (d *DNS) handler(network string) dns.HandlerFunc {
	return func(w dns.ResponseWriter, query *dns.Msg) {
		if len(query.Question) != 1 {
			_ = w.Close()
			return
		}
		name := dns.CanonicalName(query.Question[0].Name)
		d.mu.Lock()
		d.queries[queryKey{name, network}]++
		mode := d.mode
		reply := d.answer(query, name)
		d.mu.Unlock()
		send(w, mode, network == "udp", query, reply)
	}
}

// send sends the reply as a mode has it. A client that has gone needs none.
func send(w dns.ResponseWriter, mode DNSMode, udp bool, query, reply *dns.Msg) {
	switch {
	case mode == DNSSilent:
		return
	case mode == DNSTruncateNoTCP && !udp:
		_ = w.Close()
		return
	case mode == DNSGarbage:
		_, _ = w.Write([]byte("\x12\x34 this is no dns message at all"))
		return
	case mode == DNSOversize && udp:
		addOversize(reply)
		packed, _ := reply.Pack()
		_, _ = w.Write(packed)
		return
	case (mode == DNSTruncate || mode == DNSTruncateNoTCP) && udp:
		reply.Answer, reply.Extra, reply.Ns = nil, nil, nil
		reply.Truncated = true
	case mode == DNSServFail:
		reply = new(dns.Msg).SetRcode(query, dns.RcodeServerFailure)
	case mode == DNSRefused:
		reply = new(dns.Msg).SetRcode(query, dns.RcodeRefused)
	case mode == DNSNXDomain:
		reply = nxdomain(query)
	case mode == DNSWrongID:
		reply.Id = query.Id + 1
	case mode == DNSWrongQuestion:
		reply.Question[0].Name = "_other._tcp." + zone
	}
	_ = w.WriteMsg(reply)
}

// addOversize adds more records than any client accepts over UDP.
func addOversize(reply *dns.Msg) {
	name := dns.CanonicalName(reply.Question[0].Name)
	for i := range oversizeRecords {
		host := strings.Repeat("x", oversizeLabel) + "." + string(rune('a'+i%26)) + "." + zone
		reply.Answer = append(reply.Answer, &dns.SRV{
			Hdr:    header(name, dns.TypeSRV, oversizeTTL),
			Target: host,
			Port:   oversizePort,
		})
	}
}

// answer is the correct answer. The caller holds mu.
func (d *DNS) answer(query *dns.Msg, name string) *dns.Msg {
	reply := new(dns.Msg).SetReply(query)
	reply.Authoritative = true
	known := true
	switch queryType := query.Question[0].Qtype; queryType {
	case dns.TypeSRV:
		known = d.addTargets(reply, name)
	case dns.TypeA, dns.TypeAAAA:
		known = d.addAddress(reply, name, queryType)
	}
	if !known {
		return nxdomain(query)
	}
	if opt := query.IsEdns0(); opt != nil {
		reply.SetEdns0(opt.UDPSize(), false)
	}
	return reply
}

// addTargets adds the records of an SRV name, and reports whether there is one.
func (d *DNS) addTargets(reply *dns.Msg, name string) bool {
	set, known := d.srv[name]
	if !known {
		return false
	}
	if set.unavailable {
		reply.Answer = append(reply.Answer, &dns.SRV{Hdr: header(name, dns.TypeSRV, set.ttl), Target: "."})
	}
	for _, target := range set.targets {
		host := dns.CanonicalName(target.Host)
		reply.Answer = append(reply.Answer, &dns.SRV{
			Hdr:      header(name, dns.TypeSRV, set.ttl),
			Target:   host,
			Port:     target.Port,
			Priority: target.Priority,
			Weight:   target.Weight,
		})
		if target.Additional && target.IP != "" {
			reply.Extra = append(reply.Extra, addressRecord(host, target))
		}
	}
	if len(reply.Answer) == 0 {
		reply.Ns = append(reply.Ns, startOfAuthority())
	}
	return true
}

// addAddress adds the address of a host if it is of the type queried, and reports whether there is the host.
func (d *DNS) addAddress(reply *dns.Msg, name string, queryType uint16) bool {
	target, known := d.hosts[name]
	if !known {
		return false
	}
	isIPv4 := net.ParseIP(target.IP).To4() != nil
	if isIPv4 == (queryType == dns.TypeA) {
		reply.Answer = append(reply.Answer, addressRecord(name, target))
	}
	return true
}

func header(name string, recordType uint16, ttl uint32) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: recordType, Class: dns.ClassINET, Ttl: ttl}
}

func addressRecord(name string, target SRVTarget) dns.RR {
	ip := net.ParseIP(target.IP)
	if ip4 := ip.To4(); ip4 != nil {
		return &dns.A{Hdr: header(name, dns.TypeA, target.TTL), A: ip4}
	}
	return &dns.AAAA{Hdr: header(name, dns.TypeAAAA, target.TTL), AAAA: ip}
}

func nxdomain(query *dns.Msg) *dns.Msg {
	reply := new(dns.Msg).SetRcode(query, dns.RcodeNameError)
	reply.Ns = append(reply.Ns, startOfAuthority())
	return reply
}

// startOfAuthority is the SOA record of the zone, which negative answers carry (RFC 2308).
//
//nolint:mnd // times in s, whatever they are
func startOfAuthority() dns.RR {
	return &dns.SOA{
		Hdr:     header(zone, dns.TypeSOA, 30),
		Ns:      "ns." + zone,
		Mbox:    "ops." + zone,
		Serial:  1,
		Refresh: 60,
		Retry:   10,
		Expire:  600,
		Minttl:  5,
	}
}
