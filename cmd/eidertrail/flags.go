package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"eidertrail/internal/daemon"
)

// options are the command line's.
type options struct {
	files   daemon.Options
	verbose bool
}

// newCommand is the command line: the daemon, which logs to logTo, and the commands.
func newCommand(logTo io.Writer) *cobra.Command {
	var opts options
	root := &cobra.Command{
		Use:   "eidertrail",
		Short: "A session controller: takes set-ups from callers and sets calls up at sync pools",
		Long: `eidertrail serves the platform's callers and sync pools. RELAY_CONFIG names its configuration,
RELAY_LISTEN overrides its listen address. SIGHUP reads the files again, SIGUSR1 logs the
counters, SIGTERM stops in order.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(opts, logTo) },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&opts.files.CallControl, "callcontrol", "",
		"file with the addresses of the WebSocket front and the health checks; none: off")
	flags.StringVar(&opts.files.Discovery, "discovery", "", "file with the DNS SRV names of sync pools; none: off")
	flags.StringVar(&opts.files.Cluster, "cluster", "", "file of the membership among controllers; none: off")
	flags.StringVar(&opts.files.Routing, "routing", "",
		"file with the zones, their tiers, spill budget and warm-up; none: off")
	root.Flags().BoolVarP(&opts.verbose, "verbose", "v", false, "log a trace of all decisions and messages")
	root.AddCommand(newCheckCommand(&opts), newRolloutCommand())
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetArgs(withLongFlags(os.Args[1:]))
	return root
}

// newCheckCommand is eidertrail check, which reads the files and starts nothing.
func newCheckCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Reads RELAY_CONFIG and the files named by the flags, and says what is wrong; starts nothing",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := daemon.Check(o.files.FromEnvironment()); err != nil {
				return err
			}
			printf(cmd.OutOrStdout(), "configuration is good\n")
			return nil
		},
	}
}

// withLongFlags gives the flags that earlier versions spelled with one dash, such as -callcontrol FILE, their two.
func withLongFlags(arguments []string) []string {
	spelledWithOneDash := []string{"callcontrol", "discovery", "routing", "verbose"}
	long := make([]string, len(arguments))
	for i, argument := range arguments {
		name, isFlag := strings.CutPrefix(argument, "-")
		name, _, _ = strings.Cut(name, "=")
		if isFlag && slices.Contains(spelledWithOneDash, name) {
			argument = "-" + argument
		}
		long[i] = argument
	}
	return long
}

// printf writes to a command's output. That nobody reads it changes nothing about what the command has done.
func printf(out io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, format, arguments...)
}
