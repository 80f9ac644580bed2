// Command toypool is a toy sync pool and endpoint list server on loopback, to try eidertrail with. The pool has a few
// agents: a call that finds one free is established and ends after a while, any other is rejected as blocked. Load
// reports go out on every connection while it is open.
package main

import (
	"context"
	"flag"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	defaultAgents      = 3
	defaultHoldingTime = 5 * time.Second
	defaultMaxRate     = 20 // set-ups a second
)

func main() {
	listen := flag.String("listen", "127.0.0.1:5061", "where the pool listens")
	listAddress := flag.String("bulletin", "127.0.0.1:4222", "where the bulletin listens")
	agents := flag.Int("agents", defaultAgents, "how many calls may stand at a time")
	holdingTime := flag.Duration("hold", defaultHoldingTime, "how long a call stands")
	rate := flag.Float64("rate", defaultMaxRate, "set-ups a second that it says it takes from all controllers")
	flag.Parse()
	var config net.ListenConfig
	poolListener, err := config.Listen(context.Background(), "tcp", *listen)
	if err != nil {
		log.Fatal(err)
	}
	listListener, err := config.Listen(context.Background(), "tcp", *listAddress)
	if err != nil {
		log.Fatal(err)
	}
	go func() { log.Fatal(http.Serve(listListener, http.HandlerFunc(serveList))) }()
	log.Printf("pool on %s with %d agents, bulletin on %s", poolListener.Addr(), *agents, listListener.Addr())
	toy := newPool(*agents, *holdingTime, *rate)
	go toy.reportLoad()
	log.Fatal(toy.acceptAll(poolListener))
}
