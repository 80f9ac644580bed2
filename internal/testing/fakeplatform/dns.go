package fakeplatform

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/miekg/dns"
)

// DNSMode is how the fake DNS server answers.
type DNSMode int

// The modes. Each holds for every query until it is changed.
const (
	DNSAnswer        DNSMode = iota // as RFC 1035 and 2782 say
	DNSTruncate                     // UDP answers carry no records and the TC bit; TCP answers in full
	DNSTruncateNoTCP                // UDP as Truncate; TCP connections are closed unanswered
	DNSServFail                     // RCODE 2
	DNSRefused                      // RCODE 5
	DNSNXDomain                     // RCODE 3 with an SOA in the authority section
	DNSSilent                       // nothing is sent
	DNSGarbage                      // bytes that are no DNS message
	DNSOversize                     // a UDP answer over the size the client offered, without the TC bit
	DNSWrongID                      // a good answer under another id
	DNSWrongQuestion                // a good answer to another name
)

// maxPortAttempts bounds the search for a port that is free for UDP and TCP.
const maxPortAttempts = 20

// SRVTarget is an SRV record, with the address of its target.
type SRVTarget struct {
	Host       string // under pools.example.org, e.g. "a.pools.example.org"
	Port       uint16
	Priority   uint16
	Weight     uint16
	IP         string // its A or AAAA record; "" for none
	TTL        uint32 // of the address record
	Additional bool   // the address is in the additional section of the SRV answer
}

// DNS is a loopback DNS server, on a UDP and a TCP socket of the same port, whose records and behaviour tests change
// while it runs.
type DNS struct {
	Addr string

	mu      sync.Mutex
	srv     map[string]srvSet    // by lower-case name with the final dot
	hosts   map[string]SRVTarget // by lower-case host with the final dot
	mode    DNSMode
	queries map[queryKey]int
	servers []*dns.Server
}

// srvSet are the records of an SRV name.
type srvSet struct {
	ttl         uint32
	targets     []SRVTarget
	unavailable bool // a single target "." (RFC 2782)
}

// queryKey counts queries by name and network, "udp" or "tcp".
type queryKey struct{ name, network string }

// NewDNS starts a DNS server on 127.0.0.1, port 0, closed at the end of the test.
func NewDNS(tb testing.TB) *DNS {
	tb.Helper()
	server, err := StartDNS("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(server.Close)
	return server
}

// StartDNS starts a DNS server at an address, for UDP and TCP; with port 0, on a port that is free for both.
func StartDNS(address string) (*DNS, error) {
	packets, listener, err := listenBoth(address)
	if err != nil {
		return nil, err
	}
	server := &DNS{
		Addr:    packets.LocalAddr().String(),
		srv:     map[string]srvSet{},
		hosts:   map[string]SRVTarget{},
		queries: map[queryKey]int{},
	}
	server.serve(&dns.Server{PacketConn: packets, Handler: server.handler("udp")})
	server.serve(&dns.Server{Listener: listener, Handler: server.handler("tcp")})
	return server, nil
}

// listenBoth opens a UDP and a TCP socket of one port. With port 0 the TCP port of the same number may be taken, so
// that another is tried.
func listenBoth(address string) (net.PacketConn, net.Listener, error) {
	var config net.ListenConfig
	ctx := context.Background()
	var lastErr error
	for range maxPortAttempts {
		packets, err := config.ListenPacket(ctx, "udp", address)
		if err != nil {
			return nil, nil, fmt.Errorf("dns stand-in: %w", err)
		}
		listener, err := config.Listen(ctx, "tcp", packets.LocalAddr().String())
		if err == nil {
			return packets, listener, nil
		}
		lastErr = err
		_ = packets.Close()
	}
	return nil, nil, fmt.Errorf("dns stand-in: no port free for both UDP and TCP: %w", lastErr)
}

// serve starts a server and waits until it serves; Close ends it.
func (d *DNS) serve(server *dns.Server) {
	started := make(chan struct{})
	server.NotifyStartedFunc = func() { close(started) }
	d.servers = append(d.servers, server)
	go func() { _ = server.ActivateAndServe() }()
	<-started
}

// Close stops the server.
func (d *DNS) Close() {
	for _, server := range d.servers {
		_ = server.Shutdown()
	}
}

// SetSRV sets the records of an SRV name and of its targets. Without targets the name has no records (NODATA).
func (d *DNS) SetSRV(name string, ttl uint32, targets ...SRVTarget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.srv[dns.CanonicalName(name)] = srvSet{ttl: ttl, targets: targets}
	for _, target := range targets {
		if target.IP != "" {
			d.hosts[dns.CanonicalName(target.Host)] = target
		}
	}
}

// SetUnavailable makes an SRV name answer with the single target ".": the service is not available there.
func (d *DNS) SetUnavailable(name string, ttl uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.srv[dns.CanonicalName(name)] = srvSet{ttl: ttl, unavailable: true}
}

// Remove removes an SRV name: it answers NXDOMAIN.
func (d *DNS) Remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.srv, dns.CanonicalName(name))
}

// SetMode changes how every later query is answered.
func (d *DNS) SetMode(mode DNSMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
}

// Queries is the number of queries for a name over a network, "udp" or "tcp", or over both for "".
func (d *DNS) Queries(name, network string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	name = dns.CanonicalName(name)
	if network == "" {
		return d.queries[queryKey{name, "udp"}] + d.queries[queryKey{name, "tcp"}]
	}
	return d.queries[queryKey{name, network}]
}
