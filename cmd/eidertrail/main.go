// Command eidertrail is one session controller of the platform. With --callcontrol it also speaks call control over
// WebSocket and answers load balancers; with --discovery it also takes sync pools from DNS SRV records; with --routing
// it routes by zone; with --cluster it joins the fleet of controllers. Its commands check configurations and carry out
// rollouts.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := newCommand(os.Stderr).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "eidertrail:", err)
		os.Exit(1)
	}
}
