package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// env is what a case works with.
type env struct {
	root    string
	tmp     string
	trouble bool
	rec     *record
	book    *book
}

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// most is how long a case may run.
const most = 115 * time.Second

// cases are the cases of the review by the name that their scripts give.
var cases = map[string]func(e *env) int{}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER TROUBLE")
		os.Exit(couldNot)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNot)
	}
	os.Exit(runCase(play, os.Args[2], os.Args[3], os.Args[4] != "0"))
}

func runCase(play func(e *env) int, root, folder string, trouble bool) (code int) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	end := func() {
		killAll()
		rec.close()
		os.RemoveAll(tmp)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(most):
			rec.say("the time is over")
		}
		end()
		os.Exit(couldNot)
	}()
	e := &env{root: root, tmp: tmp, trouble: trouble, rec: rec, book: newBook()}
	code = play(e)
	switch code {
	case held:
		rec.say("the rule held")
	case broken:
		rec.say("the rule was broken")
	default:
		rec.say("the case could not run")
	}
	end()
	return code
}

// fail says why a case could not run.
func (e *env) fail(format string, args ...any) int {
	e.rec.say("could not run: "+format, args...)
	return couldNot
}

// id returns a call's id: 16 hex digits.
func id(group, number int) string { return fmt.Sprintf("%04x%04x%08x", 0xca11, group, number) }
