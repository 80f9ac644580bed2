// Package srv finds sync pools in DNS SRV records (RFC 2782): it asks a DNS
// server for _service._proto.name over UDP, again over TCP when the answer is
// truncated (the TC bit), resolves the targets from the additional section or by
// A and AAAA queries, and tells each record's lifetime (TTL).
//
// What an answer means (answer.go) and when to ask again (schedule.go) do no I/O
// and read no clock; resolver.go and watch.go do the asking.
package srv

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"eidertrail/internal/endpoint/endpointset"
)

// The kinds of failure. A failure keeps the last good set; see membership.
var (
	// ErrServer is SERVFAIL, REFUSED or another code that says nothing of the name.
	ErrServer = errors.New("srv: server failure")
	// ErrBadAnswer is an answer that does not belong to the question, or makes no sense.
	ErrBadAnswer = errors.New("srv: bad answer")
	// ErrTruncated is a UDP answer with the TC bit, to be asked again over TCP.
	ErrTruncated = errors.New("srv: truncated")
)

// Bounds on what one answer may hold.
const (
	// MaxRecords is how many SRV records of one answer are used; the rest are passed over.
	MaxRecords = 64
	// leastTTL guards against TTLs over a year (RFC 2181 8: values over 2^31-1 count as 0).
	mostTTL = 1<<31 - 1
)

// SRV is one SRV record of an answer, its target not yet resolved.
type SRV struct {
	Target   string // lower case, without the final dot
	Port     uint16
	Priority uint16
	Weight   uint16
	TTL      uint32 // seconds
}

// Result is what a good answer to an SRV question says.
type Result struct {
	SRV []SRV // ordered by priority, then weight (highest first), then target; empty: none
	// Addresses are the A and AAAA records of the additional section, by target, with their TTLs.
	Addresses map[string][]Address
	// NegativeTTL is how long an empty answer holds (RFC 2308: the SOA's TTL or minimum, the less), 0: not told.
	NegativeTTL uint32
}

// Address is one A or AAAA record.
type Address struct {
	IP  net.IP
	TTL uint32
}

// Query returns the question for name and type, with EDNS0 for answers up to udpSize bytes.
func Query(name string, qtype uint16, udpSize uint16) *dns.Msg {
	m := new(dns.Msg)
	m.SetQuestion(dns.Fqdn(name), qtype)
	m.RecursionDesired = true
	if udpSize > dns.MinMsgSize {
		m.SetEdns0(udpSize, false)
	}
	return m
}

// Check tells whether reply answers query: the same id and question, a response, and a code that says
// something of the name. NXDOMAIN and NODATA are answers: the name has no pools.
func Check(query, reply *dns.Msg) error {
	switch {
	case reply == nil:
		return fmt.Errorf("%w: none", ErrBadAnswer)
	case reply.Id != query.Id:
		return fmt.Errorf("%w: id %d, asked %d", ErrBadAnswer, reply.Id, query.Id)
	case !reply.Response:
		return fmt.Errorf("%w: not a response", ErrBadAnswer)
	case len(reply.Question) != 1 || !sameQuestion(reply.Question[0], query.Question[0]):
		return fmt.Errorf("%w: another question", ErrBadAnswer)
	case reply.Truncated:
		return ErrTruncated
	}
	switch reply.Rcode {
	case dns.RcodeSuccess, dns.RcodeNameError:
		return nil
	}
	return fmt.Errorf("%w: %s", ErrServer, dns.RcodeToString[reply.Rcode])
}

func sameQuestion(a, b dns.Question) bool {
	return strings.EqualFold(a.Name, b.Name) && a.Qtype == b.Qtype && a.Qclass == b.Qclass
}

// ParseSRV reads a checked answer to an SRV question for name. Records of other names or types are passed
// over; a single target of "." says that the service is not here (RFC 2782), and is no pool.
func ParseSRV(name string, reply *dns.Msg) (Result, error) {
	r := Result{Addresses: map[string][]Address{}}
	owner := dns.Fqdn(name)
	for _, rr := range reply.Answer {
		s, ok := rr.(*dns.SRV)
		if !ok || !strings.EqualFold(s.Hdr.Name, owner) {
			continue
		}
		if len(r.SRV) >= MaxRecords {
			break
		}
		target := strings.ToLower(strings.TrimSuffix(s.Target, "."))
		if target == "" {
			if len(reply.Answer) == 1 {
				return Result{Addresses: r.Addresses, NegativeTTL: s.Hdr.Ttl}, nil // "." : decidedly not here
			}
			continue
		}
		if _, ok := dns.IsDomainName(target); !ok || s.Port == 0 {
			return Result{}, fmt.Errorf("%w: SRV %q port %d", ErrBadAnswer, s.Target, s.Port)
		}
		r.SRV = append(r.SRV, SRV{Target: target, Port: s.Port, Priority: s.Priority, Weight: s.Weight, TTL: ttl(s.Hdr.Ttl)})
	}
	for _, rr := range reply.Extra {
		switch a := rr.(type) {
		case *dns.A:
			t := strings.ToLower(strings.TrimSuffix(a.Hdr.Name, "."))
			r.Addresses[t] = append(r.Addresses[t], Address{IP: a.A, TTL: ttl(a.Hdr.Ttl)})
		case *dns.AAAA:
			t := strings.ToLower(strings.TrimSuffix(a.Hdr.Name, "."))
			r.Addresses[t] = append(r.Addresses[t], Address{IP: a.AAAA, TTL: ttl(a.Hdr.Ttl)})
		}
	}
	if len(r.SRV) == 0 {
		r.NegativeTTL = negativeTTL(reply)
	}
	slices.SortStableFunc(r.SRV, func(a, b SRV) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), -cmp.Compare(a.Weight, b.Weight),
			strings.Compare(a.Target, b.Target), cmp.Compare(a.Port, b.Port))
	})
	return r, nil
}

// ParseAddresses reads a checked answer to an A or AAAA question for target.
func ParseAddresses(target string, reply *dns.Msg) []Address {
	var out []Address
	owner := dns.Fqdn(target)
	for _, rr := range reply.Answer {
		if !strings.EqualFold(rr.Header().Name, owner) {
			continue // a CNAME chain is the server's to follow
		}
		switch a := rr.(type) {
		case *dns.A:
			out = append(out, Address{IP: a.A, TTL: ttl(a.Hdr.Ttl)})
		case *dns.AAAA:
			out = append(out, Address{IP: a.AAAA, TTL: ttl(a.Hdr.Ttl)})
		}
	}
	return out
}

// Records makes pools of the SRV records whose targets have addresses: for each, the lowest IPv4
// address, else the lowest IPv6 one, so that the address stays while the target's set does. The TTL is
// the least of the SRV's and the address's, in µs. Targets without an address are left out.
func Records(r Result, addresses map[string][]Address) []endpointset.Record {
	var out []endpointset.Record
	for _, s := range r.SRV {
		as := addresses[s.Target]
		if len(as) == 0 {
			continue
		}
		best := slices.MinFunc(as, func(a, b Address) int {
			a4, b4 := a.IP.To4() != nil, b.IP.To4() != nil
			if a4 != b4 {
				if a4 {
					return -1
				}
				return 1
			}
			return strings.Compare(a.IP.String(), b.IP.String())
		})
		out = append(out, endpointset.Record{
			Target: s.Target, Address: net.JoinHostPort(best.IP.String(), strconv.Itoa(int(s.Port))),
			Priority: s.Priority, Weight: s.Weight, TTL: int64(min(s.TTL, best.TTL)) * 1_000_000,
		})
	}
	return out
}

func ttl(t uint32) uint32 {
	if t > mostTTL {
		return 0
	}
	return t
}

func negativeTTL(reply *dns.Msg) uint32 {
	for _, rr := range reply.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			return min(ttl(soa.Hdr.Ttl), ttl(soa.Minttl))
		}
	}
	return 0
}
