// The tests in this file are characterisation tests: they record what the program does today, so that a change which is
// meant to change nothing can be shown to do so. They hold the DNS questions as written, and answers as read.
// On a purposeful change the files under testdata/characterization are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/endpoint/srv -run TestCharacterization
//
// and the commit has to say why they changed.
package srv_test

import (
	"cmp"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"eidertrail/internal/endpoint/endpointset"
	"eidertrail/internal/endpoint/srv"
	"eidertrail/internal/testing/recorded"
)

const poolsName = "_sip._tcp.G1.pools.example.org"

// masked is a question's bytes in hex, its random id (the first two bytes) masked.
func masked(question []byte) string {
	return "xxxx" + hex.EncodeToString(question[min(2, len(question)):])
}

// answerTo makes the bytes of the answer to a question: nil for none.
type answerTo func(network string, question *dns.Msg) []byte

// server is a DNS server on loopback, UDP and TCP on one port, that records the bytes of each question.
type server struct {
	address string
	answer  answerTo
	packets net.PacketConn
	streams net.Listener
	wait    sync.WaitGroup
	mu      sync.Mutex
	record  strings.Builder
}

func newServer(t *testing.T, answer answerTo) *server {
	t.Helper()
	s := &server{answer: answer}
	for range 20 { // the TCP port of the same number may be taken
		packets, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		streams, err := net.Listen("tcp", packets.LocalAddr().String())
		if err != nil {
			packets.Close()
			continue
		}
		s.packets, s.streams, s.address = packets, streams, packets.LocalAddr().String()
		s.wait.Go(s.servePackets)
		s.wait.Go(s.serveStreams)
		return s
	}
	t.Fatal("no port is free for both UDP and TCP")
	return nil
}

func (s *server) close() {
	s.packets.Close()
	s.streams.Close()
	s.wait.Wait()
}

// reply records a question and makes its answer.
func (s *server) reply(network string, question []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.record, "question %s %s\n", network, masked(question))
	q := new(dns.Msg)
	if err := q.Unpack(question); err != nil {
		fmt.Fprintf(&s.record, "which is none: %v\n", err)
		return nil
	}
	b := s.answer(network, q)
	if b != nil {
		fmt.Fprintf(&s.record, "answer %s\n", masked(b))
	}
	return b
}

func (s *server) servePackets() {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := s.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if b := s.reply("udp", buffer[:n]); b != nil {
			s.packets.WriteTo(b, from)
		}
	}
}

func (s *server) serveStreams() {
	for {
		c, err := s.streams.Accept()
		if err != nil {
			return
		}
		s.serveStream(c)
	}
}

// serveStream answers one question of a connection, after its length in two bytes, and closes it.
func (s *server) serveStream(c net.Conn) {
	defer c.Close()
	length := make([]byte, 2)
	if _, err := io.ReadFull(c, length); err != nil {
		return
	}
	question := make([]byte, int(length[0])<<8|int(length[1]))
	if _, err := io.ReadFull(c, question); err != nil {
		return
	}
	if b := s.reply("tcp", question); b != nil {
		c.Write(append([]byte{byte(len(b) >> 8), byte(len(b))}, b...))
	}
}

func header(name string, kind uint16, ttl uint32) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: ttl}
}

func service(target string, port, priority, weight uint16, ttl uint32) dns.RR {
	return &dns.SRV{Hdr: header(dns.Fqdn(poolsName), dns.TypeSRV, ttl), Target: target, Port: port, Priority: priority, Weight: weight}
}

func address(name, ip string, ttl uint32) dns.RR {
	parsed := net.ParseIP(ip)
	if v4 := parsed.To4(); v4 != nil {
		return &dns.A{Hdr: header(name, dns.TypeA, ttl), A: v4}
	}
	return &dns.AAAA{Hdr: header(name, dns.TypeAAAA, ttl), AAAA: parsed}
}

func authority(ttl, minimum uint32) dns.RR {
	return &dns.SOA{
		Hdr: header("pools.example.org.", dns.TypeSOA, ttl), Ns: "ns.pools.example.org.", Mbox: "ops.pools.example.org.",
		Serial: 1, Refresh: 60, Retry: 10, Expire: 600, Minttl: minimum,
	}
}

// packed is the answer to q with what change makes of it.
func packed(q *dns.Msg, change func(m *dns.Msg)) []byte {
	m := new(dns.Msg).SetReply(q)
	change(m)
	b, err := m.Pack()
	if err != nil {
		panic(err) // a fault of this test
	}
	return b
}

// always answers every question with what change makes of its answer.
func always(change func(m *dns.Msg)) answerTo {
	return func(_ string, q *dns.Msg) []byte { return packed(q, change) }
}

// truncated answers over UDP with the TC bit, and over TCP as tcp does.
func truncated(tcp answerTo) answerTo {
	return func(network string, q *dns.Msg) []byte {
		if network == "udp" {
			return packed(q, func(m *dns.Msg) { m.Truncated = true })
		}
		return tcp(network, q)
	}
}

// resolving answers the SRV question with three targets, and the questions for their addresses.
func resolving(_ string, q *dns.Msg) []byte {
	return packed(q, func(m *dns.Msg) {
		switch name := q.Question[0].Name; {
		case q.Question[0].Qtype == dns.TypeSRV:
			m.Answer = []dns.RR{
				service("C.pools.example.org.", 5062, 20, 9, 30), service("a.pools.example.org.", 5061, 10, 5, 30),
				service("b.pools.example.org.", 5060, 10, 6, 30), service("a.pools.example.org.", 5063, 30, 5, 30),
			}
		case name == "a.pools.example.org." && q.Question[0].Qtype == dns.TypeA:
			m.Answer = []dns.RR{address(name, "192.0.2.12", 20), address(name, "192.0.2.11", 25)}
		case name == "b.pools.example.org." && q.Question[0].Qtype == dns.TypeAAAA:
			m.Answer = []dns.RR{address(name, "2001:db8::2", 60)}
		default:
			m.Rcode = dns.RcodeNameError
		}
	})
}

func full(m *dns.Msg) {
	m.Answer = []dns.RR{service("a.pools.example.org.", 5060, 0, 0, 30)}
	m.Extra = []dns.RR{address("A.pools.example.org.", "192.0.2.11", 40)}
}

func recordText(r endpointset.Record) string {
	return fmt.Sprintf("pool %q at %q priority %d weight %d ttl %d us\n", r.Target, r.Address, r.Priority, r.Weight, r.TTL)
}

func answerText(a srv.Answer) string {
	var b strings.Builder
	for _, r := range a.Records {
		b.WriteString(recordText(r))
	}
	fmt.Fprintf(&b, "holds %d us without pools, %d questions, %d truncated, %d unresolved\n", a.NegativeTTL, a.Queries, a.Truncated, a.Unresolved)
	return b.String()
}

func kindText(err error) string {
	switch {
	case errors.Is(err, srv.ErrServer):
		return "server"
	case errors.Is(err, srv.ErrBadAnswer):
		return "bad answer"
	case errors.Is(err, srv.ErrTruncated):
		return "truncated"
	}
	return "network"
}

var (
	loopback = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	identity = regexp.MustCompile(`id \d+, asked \d+`)
)

// errorText is the error's kind and text, without ports and ids, which differ from run to run.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	text := identity.ReplaceAllString(loopback.ReplaceAllString(err.Error(), "ADDRESS"), "id ID, asked ID")
	return "error of " + kindText(err) + ": " + text + "\n"
}

const (
	answeredWithin = 10 * time.Second // where an answer comes: a slow machine changes nothing
	silentFor      = 200 * time.Millisecond
)

// lookUp asks a server that answers so, and returns the questions, the answers and what was made of them.
func lookUp(t *testing.T, timeout time.Duration, udpSize uint16, name string, answer answerTo) string {
	t.Helper()
	s := newServer(t, answer)
	r := &srv.Resolver{Server: s.address, Timeout: timeout, UDPSize: udpSize}
	a, err := r.Lookup(context.Background(), name)
	s.close()
	return s.record.String() + answerText(a) + errorText(err)
}

func TestCharacterization_LookUp(t *testing.T) {
	var b strings.Builder
	for _, k := range []struct {
		name    string
		udpSize uint16
		answer  answerTo
		timeout time.Duration // 0: answeredWithin
	}{
		{"address in the additional section", 0, always(full), 0},
		{"a size of 4096", 4096, always(full), 0},
		{"a size of 512", 512, always(full), 0},
		{"targets to be resolved", 0, resolving, 0},
		{"truncated, then over TCP", 0, truncated(always(full)), 0},
		{"truncated over TCP too", 0, truncated(always(func(m *dns.Msg) { m.Truncated = true })), 0},
		{"truncated, a server failure over TCP", 0, truncated(always(func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure })), 0},
		{"truncated, TCP closed", 0, truncated(func(string, *dns.Msg) []byte { return nil }), 0},
		{"truncated, noise over TCP", 0, truncated(func(string, *dns.Msg) []byte { return []byte("noise that is no message") }), 0},
		{"no such name", 0, always(func(m *dns.Msg) { m.Rcode, m.Ns = dns.RcodeNameError, []dns.RR{authority(30, 5)} }), 0},
		{"no such records", 0, always(func(m *dns.Msg) { m.Ns = []dns.RR{authority(3, 5)} }), 0},
		{"nothing at all", 0, always(func(*dns.Msg) {}), 0},
		{"the target that says not here", 0, always(func(m *dns.Msg) { m.Answer = []dns.RR{service(".", 0, 0, 0, 7)} }), 0},
		{"server failure", 0, always(func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure }), 0},
		{"refused", 0, always(func(m *dns.Msg) { m.Rcode = dns.RcodeRefused }), 0},
		{"format error", 0, always(func(m *dns.Msg) { m.Rcode = dns.RcodeFormatError }), 0},
		{"not a response", 0, always(func(m *dns.Msg) { m.Response = false }), 0},
		{"another question", 0, always(func(m *dns.Msg) { m.Question[0].Name = "_other._tcp.pools.example.org." }), 0},
		{"port 0", 0, always(func(m *dns.Msg) { m.Answer = []dns.RR{service("a.pools.example.org.", 0, 0, 0, 30)} }), 0},
		{"silent", 0, func(string, *dns.Msg) []byte { return nil }, silentFor},
		{"another id", 0, func(_ string, q *dns.Msg) []byte { return packed(q, func(m *dns.Msg) { m.Id++; full(m) }) }, silentFor},
	} {
		fmt.Fprintf(&b, "=== %s\n%s", k.name, lookUp(t, cmp.Or(k.timeout, answeredWithin), k.udpSize, poolsName, k.answer))
	}
	fmt.Fprintf(&b, "=== a name with the final dot\n%s", lookUp(t, answeredWithin, 0, poolsName+".", always(full)))
	fmt.Fprintf(&b, "=== a name that cannot be\n%s", lookUp(t, answeredWithin, 0, strings.Repeat("x", 64)+".org", always(full)))
	recorded.Compare(t, "look-up.txt", b.String())
}

// Answers as read, without a server.
func TestCharacterization_Answers(t *testing.T) {
	question := srv.Query(poolsName, dns.TypeSRV, 1232)
	var b strings.Builder
	for _, size := range []uint16{0, 512, 513, 1232, 65535} {
		for _, kind := range []uint16{dns.TypeSRV, dns.TypeA, dns.TypeAAAA} {
			q, err := srv.Query("a.Pools.example.org", kind, size).Pack()
			fmt.Fprintf(&b, "question of type %d size %d: %s %v\n", kind, size, masked(q), err)
		}
	}
	for _, k := range []struct {
		name   string
		change func(m *dns.Msg)
	}{
		{"order", func(m *dns.Msg) {
			for i, target := range []string{"b", "a", "d", "c"} {
				m.Answer = append(m.Answer, service(target+".example.", uint16(7-i), uint16(i/3), uint16(i%2), uint32(i)))
			}
			m.Answer = append(m.Answer, service("a.example.", 2, 0, 1, 9))
		}},
		{"other names and types", func(m *dns.Msg) {
			other := service("a.example.", 5060, 0, 0, 9)
			other.Header().Name = "_sip._tcp.g2.pools.example.org."
			m.Answer = []dns.RR{other, address(dns.Fqdn(poolsName), "192.0.2.1", 3), service("B.Example.", 5060, 0, 0, 9)}
		}},
		{"not here beside a target", func(m *dns.Msg) { m.Answer = []dns.RR{service(".", 0, 0, 0, 7), service("a.example.", 1, 0, 0, 9)} }},
		{"lifetimes at their bounds", func(m *dns.Msg) {
			m.Answer = []dns.RR{service("a.example.", 1, 0, 0, 0), service("a.example.", 2, 0, 0, 1<<31-1), service("a.example.", 3, 0, 0, 1<<31)}
			m.Extra = []dns.RR{address("a.example.", "192.0.2.1", 1<<32-1), address("a.example.", "192.0.2.2", 1<<31-1)}
		}},
		{"addresses of both kinds", func(m *dns.Msg) {
			m.Answer = []dns.RR{service("a.example.", 1, 0, 0, 9), service("b.example.", 1, 0, 0, 9), service("c.example.", 1, 0, 0, 9)}
			m.Extra = []dns.RR{
				address("a.example.", "2001:db8::1", 5), address("A.example.", "192.0.2.9", 6), address("a.example.", "192.0.2.10", 7),
				address("b.example.", "2001:db8::2", 8), address("b.example.", "2001:db8::10", 9),
			}
		}},
		{"over the most records", func(m *dns.Msg) {
			for i := range srv.MaxRecords + 3 {
				m.Answer = append(m.Answer, service(fmt.Sprintf("t%02d.example.", srv.MaxRecords+3-i), 1, 0, 0, 9))
			}
		}},
		{"negative without an authority", func(m *dns.Msg) { m.Rcode = dns.RcodeNameError }},
		{"negative with two", func(m *dns.Msg) { m.Ns = []dns.RR{authority(9, 1<<31), authority(1, 1)} }},
		{"two questions", func(m *dns.Msg) { m.Question = append(m.Question, m.Question[0]) }},
		{"another class", func(m *dns.Msg) { m.Question[0].Qclass = dns.ClassCHAOS }},
		{"another type", func(m *dns.Msg) { m.Question[0].Qtype = dns.TypeA }},
		{"a code without a name", func(m *dns.Msg) { m.Rcode = 3000 }},
		{"truncated", func(m *dns.Msg) { m.Truncated = true }},
		{"another id", func(m *dns.Msg) { m.Id++ }},
	} {
		reply := new(dns.Msg).SetReply(question)
		k.change(reply)
		fmt.Fprintf(&b, "=== %s\n%s", k.name, readText(question, reply))
	}
	fmt.Fprintf(&b, "=== none\n%s", errorText(srv.Check(question, nil)))
	recorded.Compare(t, "answers.txt", b.String())
}

// readText is what is read of a reply.
func readText(question, reply *dns.Msg) string {
	var b strings.Builder
	b.WriteString(errorText(srv.Check(question, reply)))
	r, err := srv.ParseSRV(poolsName, reply)
	b.WriteString(errorText(err))
	for _, s := range r.SRV {
		fmt.Fprintf(&b, "target %q port %d priority %d weight %d ttl %d\n", s.Target, s.Port, s.Priority, s.Weight, s.TTL)
	}
	var targets []string
	for target := range r.Addresses {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	for _, target := range targets {
		for _, a := range r.Addresses[target] {
			fmt.Fprintf(&b, "address of %q %s ttl %d\n", target, a.IP, a.TTL)
		}
	}
	fmt.Fprintf(&b, "holds %d s without pools\n", r.NegativeTTL)
	for _, p := range srv.Records(r, r.Addresses) {
		b.WriteString(recordText(p))
	}
	for _, a := range srv.ParseAddresses(poolsName, reply) {
		fmt.Fprintf(&b, "answered address %s ttl %d\n", a.IP, a.TTL)
	}
	return b.String()
}

func TestCharacterization_Schedule(t *testing.T) {
	number := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	var b strings.Builder
	for _, s := range []srv.Schedule{{}, {Floor: 5, Ceiling: 4}, {Floor: 5, Ceiling: 5, Jitter: 0.6}, {Floor: 5, Ceiling: 5, Jitter: -1}} {
		fmt.Fprintf(&b, "floor %d ceiling %d jitter %s: %v\n", s.Floor, s.Ceiling, number(s.Jitter), s.Check())
	}
	s := srv.Schedule{Floor: 1_000_000, Ceiling: 60_000_000, Jitter: 0.25}
	for _, u := range []float64{0, 0.3, 0.999} {
		for _, ttl := range []int64{0, 1_000_000, 5_000_000, 30_000_001, 300_000_000} {
			fmt.Fprintf(&b, "refresh of %d at %s: %d\n", ttl, number(u), s.Refresh(ttl, u))
		}
		for _, failures := range []int{0, 1, 2, 3, 7, 100} {
			fmt.Fprintf(&b, "retry after %d at %s: %d\n", failures, number(u), s.Retry(failures, u))
		}
	}
	recorded.Compare(t, "schedule.txt", b.String())
}
