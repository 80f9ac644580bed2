// Command srvdns is a DNS server on loopback for trying SRV as a source of sync pools: it serves
// _sip._tcp.g0.pools.example.org with one SRV record for each pool address given, and, every -churn,
// drops the last one for a while and brings it back, as a fleet that changes does.
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

func main() {
	listen := flag.String("listen", "127.0.0.1:5353", "where the server listens, UDP and TCP")
	name := flag.String("name", "_sip._tcp.g0.pools.example.org", "the SRV name served")
	pools := flag.String("pools", "127.0.0.1:5061", "pool addresses, comma-separated")
	ttl := flag.Uint("ttl", 5, "TTL of the records, in seconds")
	churn := flag.Duration("churn", 0, "how often the last pool leaves and comes back; 0: never")
	flag.Parse()
	var targets []fakeplatform.Target
	for i, a := range strings.Split(*pools, ",") {
		host, port, err := net.SplitHostPort(a)
		n, perr := strconv.ParseUint(port, 10, 16)
		if err != nil || perr != nil {
			fmt.Fprintf(os.Stderr, "srvdns: -pools: %q is not address:port\n", a)
			os.Exit(1)
		}
		targets = append(targets, fakeplatform.Target{
			Host: fmt.Sprintf("p%d.pools.example.org", i), Port: uint16(n),
			Priority: 10, Weight: 10, IP: host, TTL: uint32(*ttl), Additional: true,
		})
	}
	d, err := fakeplatform.StartDNS(*listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "srvdns:", err)
		os.Exit(1)
	}
	defer d.Close()
	d.SetSRV(*name, uint32(*ttl), targets...)
	fmt.Printf("serving %s with %d pools on %s\n", *name, len(targets), d.Addr)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if *churn <= 0 || len(targets) < 2 {
		<-ctx.Done()
		return
	}
	tick := time.NewTicker(*churn)
	defer tick.Stop()
	for all := true; ; all = !all {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if all {
			d.SetSRV(*name, uint32(*ttl), targets[:len(targets)-1]...)
			fmt.Println("the last pool left")
		} else {
			d.SetSRV(*name, uint32(*ttl), targets...)
			fmt.Println("the last pool is back")
		}
	}
}
