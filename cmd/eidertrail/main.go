// Command eidertrail is one real session controller of the platform. With
// --callcontrol it also speaks call control over WebSocket and answers load
// balancers; with --discovery it also takes sync pools from DNS SRV records.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"eidertrail/internal/clock"
)

func main() {
	if err := command(os.Stderr).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "eidertrail:", err)
		os.Exit(1)
	}
}

// options are the command line's.
type options struct {
	callControl, discovery, routing, cluster string
	verbose                                  bool
}

// command is the command line: the daemon, and check, which reads the configuration and says what is
// wrong with it without starting anything.
func command(logTo io.Writer) *cobra.Command {
	var o options
	root := &cobra.Command{
		Use:   "eidertrail",
		Short: "A session controller: takes set-ups from callers and sets calls up at sync pools",
		Long: `eidertrail serves the platform's callers and sync pools. RELAY_CONFIG names its configuration,
RELAY_LISTEN overrides its listen address. SIGHUP reads the files again, SIGUSR1 logs the
counters, SIGTERM stops in order.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(o, logTo)
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.callControl, "callcontrol", "", "file with the addresses of the WebSocket front and the health checks; none: off")
	flags.StringVar(&o.discovery, "discovery", "", "file with the DNS SRV names of sync pools; none: off")
	flags.StringVar(&o.cluster, "cluster", "", "file of the membership among controllers; none: off")
	flags.StringVar(&o.routing, "routing", "", "file with the zones, their tiers, spill budget and warm-up; none: off")
	root.Flags().BoolVarP(&o.verbose, "verbose", "v", false, "log a trace of all decisions and messages")
	root.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Reads RELAY_CONFIG and the files named by the flags, and says what is wrong; starts nothing",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := check(o); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "configuration is good")
			return nil
		},
	})
	root.AddCommand(rolloutCommand())
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetArgs(longFlags(os.Args[1:]))
	return root
}

// longFlags lets the flags of earlier versions, -callcontrol FILE and -discovery FILE with one dash, work
// as they did.
func longFlags(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if name, _, _ := strings.Cut(strings.TrimPrefix(a, "-"), "="); strings.HasPrefix(a, "-") &&
			!strings.HasPrefix(a, "--") && (name == "callcontrol" || name == "discovery" || name == "routing" || name == "verbose") {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

func check(o options) error {
	env := o.environment()
	cfg, err := env.load(clock.New())
	if err == nil {
		_, err = env.files(cfg)
	}
	return err
}

func run(o options, logTo io.Writer) error {
	level := zerolog.InfoLevel
	if o.verbose {
		level = zerolog.DebugLevel
	}
	log := zerolog.New(logTo).Level(level).With().Timestamp().Logger()

	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the calls
	// Caught before anything is read: a SIGHUP that comes early must not end the start.
	s := signals{term: make(chan os.Signal, 2), print: make(chan os.Signal, 1), hup: make(chan os.Signal, 1)}
	signal.Notify(s.term, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.print, syscall.SIGUSR1)
	signal.Notify(s.hup, syscall.SIGHUP)

	d, err := start(context.Background(), o.environment(), log)
	if err != nil {
		return err
	}
	return d.serve(s)
}
