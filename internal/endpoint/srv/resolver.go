package srv

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/miekg/dns"

	"eidertrail/internal/endpoint/endpointset"
)

// defaultUDPSize is the EDNS0 size that is offered by default: it fits an Ethernet frame over IPv6.
const defaultUDPSize = 1232

// Resolver asks one DNS server. It is safe for concurrent use.
type Resolver struct {
	Server  string        // host:port of the DNS server
	Timeout time.Duration // of one exchange, over UDP or TCP
	UDPSize uint16        // the EDNS0 size offered; 0: 1232
}

// Answer is what one look-up found.
type Answer struct {
	Records     []endpointset.Record // the endpoints, with their TTLs; empty: the name has none now
	NegativeTTL int64                // of an empty answer, in microseconds: how long it holds, 0: the server does not say
	Queries     int                  // questions asked, over both transports
	Truncated   int                  // UDP answers with the TC bit
	Unresolved  int                  // SRV targets without an address
}

// Lookup asks for the SRV records of name and the addresses of their targets. A failure of the SRV question is an
// error; a target whose addresses cannot be had is left out and counted.
func (r *Resolver) Lookup(ctx context.Context, name string) (Answer, error) {
	var answer Answer
	reply, err := r.exchange(ctx, Query(name, dns.TypeSRV, r.udpSize()), &answer)
	if err != nil {
		return answer, err
	}
	result, err := ParseSRV(name, reply)
	if err != nil {
		return answer, err
	}
	addresses := map[string][]Address{}
	for _, service := range result.SRV {
		if _, resolved := addresses[service.Target]; resolved {
			continue
		}
		found := result.Addresses[service.Target]
		if len(found) == 0 {
			if found, err = r.lookupAddresses(ctx, service.Target, &answer); err != nil {
				return answer, err
			}
		}
		addresses[service.Target] = found
		if len(found) == 0 {
			answer.Unresolved++
		}
	}
	answer.Records = Records(result, addresses)
	answer.NegativeTTL = int64(result.NegativeTTL) * microsPerSecond
	return answer, nil
}

// lookupAddresses asks for target's IPv4 addresses, and for its IPv6 ones where there are none. Only the end of ctx is
// an error.
func (r *Resolver) lookupAddresses(ctx context.Context, target string, answer *Answer) ([]Address, error) {
	for _, qtype := range []uint16{dns.TypeA, dns.TypeAAAA} {
		reply, err := r.exchange(ctx, Query(target, qtype, r.udpSize()), answer)
		if err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			continue
		}
		if addresses := ParseAddresses(target, reply); len(addresses) > 0 {
			return addresses, nil
		}
	}
	return nil, nil
}

func (r *Resolver) udpSize() uint16 {
	if r.UDPSize == 0 {
		return defaultUDPSize
	}
	return r.UDPSize
}

// exchange asks over UDP, and over TCP where the answer is truncated or cannot be read, as one over the size offered
// (RFC 7766). After a UDP time-out it does not ask again: the server does not answer.
func (r *Resolver) exchange(ctx context.Context, query *dns.Msg, answer *Answer) (*dns.Msg, error) {
	reply, err := r.exchangeOnce(ctx, "udp", query, answer)
	var netErr net.Error
	switch {
	case err == nil || ctx.Err() != nil:
		return reply, err
	case errors.Is(err, ErrTruncated):
		answer.Truncated++
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, ErrServer), errors.Is(err, ErrBadAnswer):
		return nil, err
	}
	return r.exchangeOnce(ctx, "tcp", query, answer)
}

func (r *Resolver) exchangeOnce(ctx context.Context, network string, query *dns.Msg, answer *Answer) (*dns.Msg, error) {
	answer.Queries++
	client := &dns.Client{Net: network, Timeout: r.Timeout, UDPSize: r.udpSize()}
	query = query.Copy()
	query.Id = dns.Id()
	reply, err := exchangeWith(ctx, client, query, r.Server)
	if err != nil {
		if reply != nil && reply.Truncated && network == "udp" {
			return nil, ErrTruncated // a partial message that says so
		}
		return nil, fmt.Errorf("srv: %s %s: %w", network, query.Question[0].Name, err)
	}
	if err := Check(query, reply); err != nil {
		if errors.Is(err, ErrTruncated) && network == "tcp" {
			return nil, fmt.Errorf("%w: truncated over TCP", ErrBadAnswer)
		}
		return nil, err
	}
	return reply, nil
}

// exchangeWith asks once, and ends when ctx does: the client itself heeds ctx's deadline, not its cancellation.
func exchangeWith(ctx context.Context, client *dns.Client, query *dns.Msg, server string) (*dns.Msg, error) {
	conn, err := client.DialContext(ctx, server)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	reply, _, err := client.ExchangeWithConnContext(ctx, query, conn)
	return reply, err
}
