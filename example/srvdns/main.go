// Command srvdns is a DNS server on loopback for trying SRV as a source of sync pools: it serves
// _sip._tcp.g0.pools.example.org with one SRV record for each pool address given. With -churn it removes the last one
// for a while and adds it again, in turn, as happens in a fleet that changes.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"eidertrail/internal/testing/fakeplatform"
)

const (
	defaultTTL = 5 // seconds
	// targetPriority and targetWeight are the same for all pools, so that none is preferred.
	targetPriority = 10
	targetWeight   = 10
)

// zone is the one SRV name that is served.
type zone struct {
	name    string
	ttl     uint32 // seconds
	targets []fakeplatform.SRVTarget
}

func main() {
	listen := flag.String("listen", "127.0.0.1:5353", "where the server listens, UDP and TCP")
	name := flag.String("name", "_sip._tcp.g0.pools.example.org", "the SRV name served")
	pools := flag.String("pools", "127.0.0.1:5061", "pool addresses, comma-separated")
	ttl := flag.Uint("ttl", defaultTTL, "TTL of the records, in seconds")
	churn := flag.Duration("churn", 0, "how often the last pool leaves and comes back; 0: never")
	flag.Parse()
	served := zone{name: *name, ttl: uint32(*ttl)}
	err := served.addTargets(*pools)
	if err == nil {
		err = serve(served, *listen, *churn)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "srvdns:", err)
		os.Exit(1)
	}
}

// addTargets adds a target for each of the pools' addresses, which commas separate.
func (z *zone) addTargets(pools string) error {
	for i, address := range strings.Split(pools, ",") {
		host, port, err := net.SplitHostPort(address)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || portErr != nil {
			return fmt.Errorf("-pools: %q is not address:port", address)
		}
		z.targets = append(z.targets, fakeplatform.SRVTarget{
			Host:       fmt.Sprintf("p%d.pools.example.org", i),
			Port:       uint16(number),
			Priority:   targetPriority,
			Weight:     targetWeight,
			IP:         host,
			TTL:        z.ttl,
			Additional: true,
		})
	}
	return nil
}

// serve serves the zone until the process is asked to stop.
func serve(served zone, listen string, churn time.Duration) error {
	server, err := fakeplatform.StartDNS(listen)
	if err != nil {
		return err
	}
	defer server.Close()
	server.SetSRV(served.name, served.ttl, served.targets...)
	fmt.Printf("serving %s with %d pools on %s\n", served.name, len(served.targets), server.Addr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if churn <= 0 || len(served.targets) < 2 {
		<-ctx.Done()
		return nil
	}
	churnLast(ctx, server, served, churn)
	return nil
}

// churnLast removes the last target and adds it again, one of both after each interval.
func churnLast(ctx context.Context, server *fakeplatform.DNS, served zone, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for complete := true; ; complete = !complete {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if complete {
			server.SetSRV(served.name, served.ttl, served.targets[:len(served.targets)-1]...)
			fmt.Println("the last pool left")
		} else {
			server.SetSRV(served.name, served.ttl, served.targets...)
			fmt.Println("the last pool is back")
		}
	}
}
