// Command eidertrail is one session controller of the platform. With --callcontrol it also speaks call control over
// WebSocket and answers load balancers; with --discovery it also takes sync pools from DNS SRV records; with --routing
// it routes by zone; with --cluster it joins the fleet of controllers. Its commands check configurations and carry out
// rollouts.
package main

import (
	"fmt"
	"os"

	"eidertrail/internal/asynclog"
)

func main() {
	if err := newCommand(os.Stderr).Execute(); err != nil {
		reportError(err)
		os.Exit(1)
	}
}

// reportError writes why the program ends. A log that nobody reads does not keep it from ending.
func reportError(err error) {
	lines := asynclog.New(os.Stderr)
	defer lines.Close()
	_, _ = fmt.Fprintln(lines, "eidertrail:", err) // the exit status says it, too
}
