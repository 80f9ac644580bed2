// Command standin-2 plays one case of the review: it starts the project's program by the deploy file, plays callers, pools
// and the bulletin round it on loopback addresses, and judges what they saw.
//
//	standin-2 CASE ROOT RECORD TROUBLE
//
// It exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. With 0 for TROUBLE the disruption is
// left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest is how long a case may run.
const longest = 110 * time.Second

// world is what a case plays in.
type world struct {
	rec     *record
	root    string
	folder  string
	trouble bool

	controllers []*controller
}

var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(w *world) error{
	"ends":          ends,
	"sitegone":      siteGone,
	"crowd":         crowd,
	"stale":         stale,
	"killedupgrade": killedUpgrade, // no case: see the report
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT RECORD TROUBLE")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Args[4] != "0"))
}

func play(name, root, recordPath string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	if root, err = filepath.Abs(root); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{rec: rec, root: root, folder: folder, trouble: trouble}
	rec.logf("case %s, trouble: %v", name, w.trouble)
	result := make(chan error, 1)
	go func() { result <- cases[name](w) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-result:
	case <-time.After(longest):
		err = errors.New("the case takes too long")
	case <-stop:
		err = errors.New("stopped")
	}
	for _, c := range w.controllers {
		c.kill()
		c.copyLog()
	}
	switch {
	case err == nil:
		rec.sayf("held")
		return 0
	case errors.Is(err, errBroken):
		rec.sayf("%v", err)
		return 1
	}
	rec.sayf("could not run: %v", err)
	return 2
}

// pools starts so many pools that answer after a time.
func (w *world) pools(count int, wait time.Duration) ([]*pool, error) {
	var pools []*pool
	for i := range count {
		p, err := startPool(fmt.Sprintf("pool%d", i), wait, w.rec)
		if err != nil {
			return nil, err
		}
		pools = append(pools, p)
	}
	return pools, nil
}

// controller writes a controller's configuration; start starts it.
func (w *world) controller(s site) (*controller, error) {
	return w.another("n0", s, nil)
}

// another writes the configuration of a further controller, which shares a bulletin.
func (w *world) another(name string, s site, bulletin *bulletin) (*controller, error) {
	c, err := newController(w.rec, w.root, w.folder, name, s, bulletin)
	if err == nil {
		w.controllers = append(w.controllers, c)
	}
	return c, err
}

// lost are the set-ups of connections that were lost by the protocol page: the connection ended without a whole answer
// before the caller had given them up, or they got a second answer. What the pages excuse is not counted: the first
// request on a connection, one whose time ran out, and one that crossed the close.
func lost(rec *record, conns ...*caller) (count int) {
	for _, c := range conns {
		c.mu.Lock()
		closedAt := c.closedAt
		c.mu.Unlock()
		for _, set := range c.all() {
			switch {
			case len(set.answers) > 1:
				rec.logf("LOST %s: %d final answers", set.id, len(set.answers))
				count++
			case len(set.answers) == 1:
			case set.first:
			case !closedAt.IsZero() && closedAt.Before(set.sentAt.Add(set.left)) && closedAt.After(set.sentAt.Add(crossing)):
				rec.logf("LOST %s: the controller ended the connection %d ms after it, with %d ms left, and gave no answer",
					set.id, closedAt.Sub(set.sentAt).Milliseconds(), set.sentAt.Add(set.left).Sub(closedAt).Milliseconds())
				count++
			}
		}
	}
	return count
}

// crossing is within what time a set-up counts as crossing the close of its connection, and is sent again.
const crossing = 50 * time.Millisecond

func count(calls []call, matches func(c call) bool) (n int) {
	for _, c := range calls {
		if matches(c) {
			n++
		}
	}
	return n
}
