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

// Resolver asks one DNS server. It is safe for concurrent use.
type Resolver struct {
	Server  string        // host:port of the DNS server
	Timeout time.Duration // for one exchange, over UDP or TCP
	UDPSize uint16        // the EDNS0 size offered; 0: 1232
}

// Answer is what one look-up found.
type Answer struct {
	Records     []endpointset.Record // the pools, with their TTLs; empty: the name has none now
	NegativeTTL int64                // µs, for an empty answer: how long it holds, 0: not told
	Queries     int                  // questions asked, over both transports
	Truncated   int                  // UDP answers with the TC bit
	Unresolved  int                  // SRV targets without an address
}

// Lookup asks for the SRV records of name and the addresses of their targets. A failure of the SRV
// question is an error; a target whose addresses cannot be had is left out and counted.
func (r *Resolver) Lookup(ctx context.Context, name string) (Answer, error) {
	var a Answer
	reply, err := r.exchange(ctx, Query(name, dns.TypeSRV, r.udpSize()), &a)
	if err != nil {
		return a, err
	}
	res, err := ParseSRV(name, reply)
	if err != nil {
		return a, err
	}
	addresses := map[string][]Address{}
	for _, s := range res.SRV {
		if _, done := addresses[s.Target]; done {
			continue
		}
		if as := res.Addresses[s.Target]; len(as) > 0 {
			addresses[s.Target] = as
			continue
		}
		var as []Address
		for _, qtype := range []uint16{dns.TypeA, dns.TypeAAAA} {
			reply, err := r.exchange(ctx, Query(s.Target, qtype, r.udpSize()), &a)
			if err != nil {
				if ctx.Err() != nil {
					return a, ctx.Err()
				}
				continue
			}
			if as = ParseAddresses(s.Target, reply); len(as) > 0 {
				break
			}
		}
		addresses[s.Target] = as
		if len(as) == 0 {
			a.Unresolved++
		}
	}
	a.Records = Records(res, addresses)
	a.NegativeTTL = int64(res.NegativeTTL) * 1_000_000
	return a, nil
}

func (r *Resolver) udpSize() uint16 {
	if r.UDPSize == 0 {
		return 1232
	}
	return r.UDPSize
}

// exchange asks over UDP, and over TCP when the answer is truncated or cannot be read, as one that is
// over the size offered (RFC 7766). A UDP time-out is not asked again: the server is not answering.
func (r *Resolver) exchange(ctx context.Context, q *dns.Msg, a *Answer) (*dns.Msg, error) {
	reply, err := r.once(ctx, "udp", q, a)
	var netErr net.Error
	switch {
	case err == nil || ctx.Err() != nil:
		return reply, err
	case errors.Is(err, ErrTruncated):
		a.Truncated++
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, ErrServer), errors.Is(err, ErrBadAnswer):
		return nil, err
	}
	return r.once(ctx, "tcp", q, a)
}

// exchangeWith asks once, and ends when ctx does. Guards against a look-up that is no longer wanted being waited for
// until its time-out: the client heeds ctx's deadline, not its end.
func exchangeWith(ctx context.Context, c *dns.Client, q *dns.Msg, server string) (*dns.Msg, error) {
	conn, err := c.DialContext(ctx, server)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	reply, _, err := c.ExchangeWithConnContext(ctx, q, conn)
	return reply, err
}

func (r *Resolver) once(ctx context.Context, network string, q *dns.Msg, a *Answer) (*dns.Msg, error) {
	a.Queries++
	c := &dns.Client{Net: network, Timeout: r.Timeout, UDPSize: r.udpSize()}
	q = q.Copy()
	q.Id = dns.Id()
	reply, err := exchangeWith(ctx, c, q, r.Server)
	if err != nil {
		if reply != nil && reply.Truncated && network == "udp" {
			return nil, ErrTruncated // a partial message that says so
		}
		return nil, fmt.Errorf("srv: %s %s: %w", network, q.Question[0].Name, err)
	}
	if err := Check(q, reply); err != nil {
		if errors.Is(err, ErrTruncated) && network == "tcp" {
			return nil, fmt.Errorf("%w: truncated over TCP", ErrBadAnswer)
		}
		return nil, err
	}
	return reply, nil
}
