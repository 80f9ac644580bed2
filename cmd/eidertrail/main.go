// Command eidertrail is one real session controller of the platform. With
// -callcontrol it also speaks call control over WebSocket and answers load
// balancers.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

func main() {
	callControl := flag.String("callcontrol", "", "file with the addresses of the WebSocket front; none: off")
	verbose := flag.Bool("v", false, "log a trace of all decisions")
	flag.Parse()
	level := zerolog.InfoLevel
	if *verbose {
		level = zerolog.DebugLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()

	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the calls
	// Caught before anything is read: a SIGHUP that comes early must not end the start.
	s := signals{term: make(chan os.Signal, 2), print: make(chan os.Signal, 1), hup: make(chan os.Signal, 1)}
	signal.Notify(s.term, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.print, syscall.SIGUSR1)
	signal.Notify(s.hup, syscall.SIGHUP)

	d, err := start(context.Background(), environment{
		config: os.Getenv("RELAY_CONFIG"), listen: os.Getenv("RELAY_LISTEN"), callControl: *callControl,
	}, log)
	if err == nil {
		err = d.serve(s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "eidertrail:", err)
		os.Exit(1)
	}
}
