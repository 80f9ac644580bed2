// Package daemon is one running session controller, built from the packages below it: the frontends that callers and
// load balancers connect to, the dispatcher with the decision module, the connections to sync pools, the sources of
// endpoints and, where they are asked for, call control, routing by zone and the fleet of controllers.
//
// Start reads and checks the files, builds the parts, opens the listeners and starts the goroutines; Serve runs until a
// signal asks for the end, and stops everything in order. Which order, and why, is stated at each of them. The command
// in cmd/eidertrail adds flags, signals and the exit status.
package daemon
