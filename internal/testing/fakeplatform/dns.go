package fakeplatform

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/miekg/dns"
)

// DNSMode is how the DNS stand-in answers.
type DNSMode int

// The modes. Each holds for every question until it is changed.
const (
	Answer        DNSMode = iota // as RFC 1035 and 2782 say
	Truncate                     // UDP answers carry no records and the TC bit; TCP answers in full
	TruncateNoTCP                // UDP as Truncate; TCP connections are closed unanswered
	ServFail                     // RCODE 2
	Refused                      // RCODE 5
	NXDomain                     // RCODE 3 with an SOA in the authority section
	Silent                       // nothing is sent
	Garbage                      // bytes that are no DNS message
	Oversize                     // a UDP answer over the size the client offered, without the TC bit
	WrongID                      // a good answer under another id
	WrongQuestion                // a good answer to another name
)

// Target is one SRV record of the stand-in, with the address of its target.
type Target struct {
	Host       string // under pools.example.org, e.g. "a.pools.example.org"
	Port       uint16
	Priority   uint16
	Weight     uint16
	IP         string // its A (or AAAA) record; "" for none
	TTL        uint32 // of the address record
	Additional bool   // the address rides in the additional section of the SRV answer
}

// DNS is a loopback DNS server, on one UDP and one TCP socket of the same port, whose records and
// behaviour tests change while it runs.
type DNS struct {
	Addr string

	mu      sync.Mutex
	srv     map[string]srvSet // by lower-case name with the final dot
	hosts   map[string]Target // by lower-case host with the final dot
	mode    DNSMode
	queries map[string]int // by name and transport, "name/udp"
	servers []*dns.Server
}

type srvSet struct {
	ttl     uint32
	targets []Target
	none    bool // a single target "."
}

// NewDNS starts a DNS stand-in on 127.0.0.1, port 0, closed at the end of the test.
func NewDNS(t testing.TB) *DNS {
	t.Helper()
	d, err := StartDNS("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// StartDNS starts a DNS stand-in at address (UDP and TCP); with port 0, on a port free for both.
func StartDNS(address string) (*DNS, error) {
	d := &DNS{srv: map[string]srvSet{}, hosts: map[string]Target{}, queries: map[string]int{}}
	var pc net.PacketConn
	var l net.Listener
	var err error
	for range 20 { // with port 0, the TCP port of the same number may be taken
		if pc, err = net.ListenPacket("udp", address); err != nil {
			return nil, fmt.Errorf("dns stand-in: %w", err)
		}
		if l, err = net.Listen("tcp", pc.LocalAddr().String()); err == nil {
			break
		}
		pc.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("dns stand-in: no port free for both UDP and TCP: %w", err)
	}
	d.Addr = pc.LocalAddr().String()
	for _, s := range []*dns.Server{{PacketConn: pc, Handler: d.handler("udp")}, {Listener: l, Handler: d.handler("tcp")}} {
		started := make(chan struct{})
		s.NotifyStartedFunc = func() { close(started) }
		d.servers = append(d.servers, s)
		go s.ActivateAndServe()
		<-started
	}
	return d, nil
}

// Close stops the stand-in.
func (d *DNS) Close() {
	for _, s := range d.servers {
		s.Shutdown()
	}
}

// SetSRV sets the records of an SRV name and of its targets. No targets: the name has no records
// (NODATA).
func (d *DNS) SetSRV(name string, ttl uint32, targets ...Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.srv[dns.CanonicalName(name)] = srvSet{ttl: ttl, targets: targets}
	for _, t := range targets {
		if t.IP != "" {
			d.hosts[dns.CanonicalName(t.Host)] = t
		}
	}
}

// SetNone makes an SRV name answer with the single target ".": the service is not here.
func (d *DNS) SetNone(name string, ttl uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.srv[dns.CanonicalName(name)] = srvSet{ttl: ttl, none: true}
}

// Remove takes an SRV name away: it answers NXDOMAIN.
func (d *DNS) Remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.srv, dns.CanonicalName(name))
}

// SetMode changes how every later question is answered.
func (d *DNS) SetMode(m DNSMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
}

// Queries tells how many questions for name came over network ("udp", "tcp"), or both for "".
func (d *DNS) Queries(name, network string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	name = dns.CanonicalName(name)
	if network == "" {
		return d.queries[name+"/udp"] + d.queries[name+"/tcp"]
	}
	return d.queries[name+"/"+network]
}

func (d *DNS) handler(network string) dns.HandlerFunc {
	return func(w dns.ResponseWriter, q *dns.Msg) {
		if len(q.Question) != 1 {
			w.Close()
			return
		}
		name := dns.CanonicalName(q.Question[0].Name)
		d.mu.Lock()
		d.queries[name+"/"+network]++
		mode := d.mode
		reply := d.answer(q, name)
		d.mu.Unlock()
		udp := network == "udp"
		switch {
		case mode == Silent:
			return
		case mode == TruncateNoTCP && !udp:
			w.Close()
			return
		case (mode == Truncate || mode == TruncateNoTCP) && udp:
			reply.Answer, reply.Extra, reply.Ns = nil, nil, nil
			reply.Truncated = true
		case mode == ServFail:
			reply = new(dns.Msg).SetRcode(q, dns.RcodeServerFailure)
		case mode == Refused:
			reply = new(dns.Msg).SetRcode(q, dns.RcodeRefused)
		case mode == NXDomain:
			reply = d.nxdomain(q)
		case mode == Garbage:
			w.Write([]byte("\x12\x34 this is no dns message at all"))
			return
		case mode == Oversize && udp:
			for i := range 200 {
				reply.Answer = append(reply.Answer, &dns.SRV{
					Hdr:    dns.RR_Header{Name: name, Rrtype: dns.TypeSRV, Class: dns.ClassINET, Ttl: 5},
					Target: strings.Repeat("x", 40) + "." + string(rune('a'+i%26)) + ".pools.example.org.", Port: 5060,
				})
			}
			packed, _ := reply.Pack()
			w.Write(packed)
			return
		case mode == WrongID:
			reply.Id = q.Id + 1
		case mode == WrongQuestion:
			reply.Question[0].Name = "_other._tcp.pools.example.org."
		}
		w.WriteMsg(reply)
	}
}

// answer is the true answer; the caller holds mu.
func (d *DNS) answer(q *dns.Msg, name string) *dns.Msg {
	m := new(dns.Msg).SetReply(q)
	m.Authoritative = true
	hdr := func(name string, t uint16, ttl uint32) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: t, Class: dns.ClassINET, Ttl: ttl}
	}
	switch q.Question[0].Qtype {
	case dns.TypeSRV:
		set, ok := d.srv[name]
		if !ok {
			return d.nxdomain(q)
		}
		if set.none {
			m.Answer = append(m.Answer, &dns.SRV{Hdr: hdr(name, dns.TypeSRV, set.ttl), Target: "."})
		}
		for _, t := range set.targets {
			host := dns.CanonicalName(t.Host)
			m.Answer = append(m.Answer, &dns.SRV{
				Hdr: hdr(name, dns.TypeSRV, set.ttl), Target: host,
				Port: t.Port, Priority: t.Priority, Weight: t.Weight,
			})
			if t.Additional && t.IP != "" {
				m.Extra = append(m.Extra, address(hdr, host, t))
			}
		}
		if len(m.Answer) == 0 {
			m.Ns = append(m.Ns, soa(name))
		}
	case dns.TypeA, dns.TypeAAAA:
		t, ok := d.hosts[name]
		if !ok {
			return d.nxdomain(q)
		}
		ip := net.ParseIP(t.IP)
		if (ip.To4() != nil) == (q.Question[0].Qtype == dns.TypeA) {
			m.Answer = append(m.Answer, address(hdr, name, t))
		}
	}
	if opt := q.IsEdns0(); opt != nil {
		m.SetEdns0(opt.UDPSize(), false)
	}
	return m
}

func address(hdr func(string, uint16, uint32) dns.RR_Header, name string, t Target) dns.RR {
	ip := net.ParseIP(t.IP)
	if ip4 := ip.To4(); ip4 != nil {
		return &dns.A{Hdr: hdr(name, dns.TypeA, t.TTL), A: ip4}
	}
	return &dns.AAAA{Hdr: hdr(name, dns.TypeAAAA, t.TTL), AAAA: ip}
}

func (d *DNS) nxdomain(q *dns.Msg) *dns.Msg {
	m := new(dns.Msg).SetRcode(q, dns.RcodeNameError)
	m.Ns = append(m.Ns, soa(q.Question[0].Name))
	return m
}

func soa(name string) dns.RR {
	return &dns.SOA{
		Hdr: dns.RR_Header{Name: "pools.example.org.", Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: 30},
		Ns:  "ns.pools.example.org.", Mbox: "ops.pools.example.org.", Serial: 1, Refresh: 60, Retry: 10,
		Expire: 600, Minttl: 5,
	}
}
