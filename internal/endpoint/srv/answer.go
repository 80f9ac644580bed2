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

// The kinds of failure. After a failure the last good set of records stays in force.
var (
	// ErrServer reports SERVFAIL, REFUSED or another code that says nothing of the name.
	ErrServer = errors.New("srv: server failure")
	// ErrBadAnswer reports an answer that does not belong to the question, or is invalid.
	ErrBadAnswer = errors.New("srv: bad answer")
	// ErrTruncated reports a UDP answer with the TC bit, to be asked again over TCP.
	ErrTruncated = errors.New("srv: truncated")
)

const (
	// MaxRecords is how many SRV records of one answer are used; the rest are passed over.
	MaxRecords = 64
	// maxTTL is the longest TTL, in seconds; larger values count as 0 (RFC 2181, section 8).
	maxTTL = 1<<31 - 1
	// microsPerSecond converts TTLs to the clock's unit.
	microsPerSecond = 1_000_000
)

// SRV is one SRV record of an answer, its target not yet resolved.
type SRV struct {
	Target   string // lower case, without the final dot
	Port     uint16
	Priority uint16
	Weight   uint16
	TTL      uint32 // seconds
}

// compareSRV orders records by priority, then weight (highest first), then target and port.
func compareSRV(a, b SRV) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		-cmp.Compare(a.Weight, b.Weight),
		strings.Compare(a.Target, b.Target),
		cmp.Compare(a.Port, b.Port),
	)
}

// Result is what a good answer to an SRV question says.
type Result struct {
	SRV []SRV // ordered by priority, then weight (highest first), then target; empty: none
	// Addresses are the A and AAAA records of the additional section, by target, with their TTLs.
	Addresses map[string][]Address
	// NegativeTTL is how long an empty answer holds, in seconds (RFC 2308: the SOA's TTL or minimum, whichever is less);
	// 0: the answer does not say.
	NegativeTTL uint32
}

// Address is one A or AAAA record.
type Address struct {
	IP  net.IP
	TTL uint32 // seconds
}

// compareAddresses orders addresses: IPv4 before IPv6, then by their text.
func compareAddresses(a, b Address) int {
	aIsIPv4, bIsIPv4 := a.IP.To4() != nil, b.IP.To4() != nil
	switch {
	case aIsIPv4 && !bIsIPv4:
		return -1
	case !aIsIPv4 && bIsIPv4:
		return 1
	default:
		return strings.Compare(a.IP.String(), b.IP.String())
	}
}

// Query returns the question for name and type, with EDNS0 for answers of up to udpSize bytes.
func Query(name string, qtype, udpSize uint16) *dns.Msg {
	query := new(dns.Msg)
	query.SetQuestion(dns.Fqdn(name), qtype)
	query.RecursionDesired = true
	if udpSize > dns.MinMsgSize {
		query.SetEdns0(udpSize, false)
	}
	return query
}

// Check reports whether reply answers query: the same id and question, a response, and a code that says something of
// the name. NXDOMAIN and NODATA are answers: the name has no endpoints.
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
	case reply.Rcode == dns.RcodeSuccess, reply.Rcode == dns.RcodeNameError:
		return nil
	default:
		return fmt.Errorf("%w: %s", ErrServer, dns.RcodeToString[reply.Rcode])
	}
}

func sameQuestion(a, b dns.Question) bool {
	return strings.EqualFold(a.Name, b.Name) && a.Qtype == b.Qtype && a.Qclass == b.Qclass
}

// ParseSRV reads a checked answer to an SRV question for name. Records of other names or types are passed over; a
// single target of "." says that the service is not offered here (RFC 2782), and is no endpoint.
func ParseSRV(name string, reply *dns.Msg) (Result, error) {
	owner := dns.Fqdn(name)
	var records []SRV
	for _, record := range reply.Answer {
		service, ok := record.(*dns.SRV)
		if !ok || !strings.EqualFold(service.Hdr.Name, owner) {
			continue
		}
		if len(records) >= MaxRecords {
			break
		}
		target := canonicalName(service.Target)
		if target == "" {
			if len(reply.Answer) == 1 {
				return Result{Addresses: map[string][]Address{}, NegativeTTL: service.Hdr.Ttl}, nil
			}
			continue
		}
		if _, ok := dns.IsDomainName(target); !ok || service.Port == 0 {
			return Result{}, fmt.Errorf("%w: SRV %q port %d", ErrBadAnswer, service.Target, service.Port)
		}
		records = append(records, SRV{
			Target:   target,
			Port:     service.Port,
			Priority: service.Priority,
			Weight:   service.Weight,
			TTL:      validTTL(service.Hdr.Ttl),
		})
	}
	slices.SortStableFunc(records, compareSRV)
	result := Result{SRV: records, Addresses: additionalAddresses(reply)}
	if len(records) == 0 {
		result.NegativeTTL = negativeTTL(reply)
	}
	return result, nil
}

// additionalAddresses reads the A and AAAA records of the additional section, by target.
func additionalAddresses(reply *dns.Msg) map[string][]Address {
	addresses := map[string][]Address{}
	for _, record := range reply.Extra {
		if address, ok := parseAddress(record); ok {
			target := canonicalName(record.Header().Name)
			addresses[target] = append(addresses[target], address)
		}
	}
	return addresses
}

// ParseAddresses reads a checked answer to an A or AAAA question for target.
func ParseAddresses(target string, reply *dns.Msg) []Address {
	var addresses []Address
	owner := dns.Fqdn(target)
	for _, record := range reply.Answer {
		if !strings.EqualFold(record.Header().Name, owner) {
			continue // a CNAME chain is the server's to follow
		}
		if address, ok := parseAddress(record); ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// parseAddress reads an A or AAAA record; false: it is another.
func parseAddress(record dns.RR) (Address, bool) {
	switch record := record.(type) {
	case *dns.A:
		return Address{IP: record.A, TTL: validTTL(record.Hdr.Ttl)}, true
	case *dns.AAAA:
		return Address{IP: record.AAAA, TTL: validTTL(record.Hdr.Ttl)}, true
	default:
		return Address{}, false
	}
}

// Records makes endpoint records of the SRV records whose targets have addresses: for each, the lowest IPv4 address,
// else the lowest IPv6 one, so that the address stays while the target's set does. The TTL is the lesser of the SRV
// record's and the address's, in microseconds. Targets without an address are left out.
func Records(result Result, addresses map[string][]Address) []endpointset.Record {
	var records []endpointset.Record
	for _, service := range result.SRV {
		candidates := addresses[service.Target]
		if len(candidates) == 0 {
			continue
		}
		best := slices.MinFunc(candidates, compareAddresses)
		records = append(records, endpointset.Record{
			Target:   service.Target,
			Address:  net.JoinHostPort(best.IP.String(), strconv.Itoa(int(service.Port))),
			Priority: service.Priority,
			Weight:   service.Weight,
			TTL:      int64(min(service.TTL, best.TTL)) * microsPerSecond,
		})
	}
	return records
}

// canonicalName returns a name in lower case and without its final dot.
func canonicalName(name string) string { return strings.ToLower(strings.TrimSuffix(name, ".")) }

// validTTL returns a TTL in seconds, 0 for one that is too long to be meant.
func validTTL(seconds uint32) uint32 {
	if seconds > maxTTL {
		return 0
	}
	return seconds
}

func negativeTTL(reply *dns.Msg) uint32 {
	for _, record := range reply.Ns {
		if soa, ok := record.(*dns.SOA); ok {
			return min(validTTL(soa.Hdr.Ttl), validTTL(soa.Minttl))
		}
	}
	return 0
}
