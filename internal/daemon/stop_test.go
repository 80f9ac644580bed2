package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/lifecycle"
	"eidertrail/internal/testing/daemontest"
)

// A SIGTERM that comes during the start is kept until the daemon serves, a second one changes nothing, and a line that
// was half read at the first is read to its end and answered.
func TestServe_SIGTERMDuringTheStartAndTwice(t *testing.T) {
	config := writeConfiguration(t, answeringPool().Listen(t))
	daemon, err := Start(context.Background(), Options{Config: config}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	caller := daemontest.Dial(t, daemon.listener.Addr().String())
	line := daemontest.SetupLine("00000000000000c1")
	caller.SendText(line[:40])
	signals := newSignals()
	signals.Terminate = make(chan os.Signal, 2) // as the command has it
	signals.Terminate <- syscall.SIGTERM        // before the daemon serves
	signals.Terminate <- syscall.SIGTERM
	ended := make(chan error, 1)
	go func() { ended <- daemon.Serve(signals) }()
	for daemon.lifecycle.State() != lifecycle.Stopping {
		time.Sleep(time.Millisecond)
	}
	caller.SendText(line[40:])
	if m := caller.Next(); m.Type != "answer" || m.ID != "00000000000000c1" {
		t.Errorf("%+v", m)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if len(signals.Terminate) != 1 {
		t.Error("the second SIGTERM was taken for something")
	}
}

// A planned stop must not outlast SIGKILL where classes give up sooner than 3 s: the last answer is due before the
// longest deadline (counted as 3 s at most) plus 0.7 s.
func TestDrainTimeout_EndsBeforeSIGKILL(t *testing.T) {
	for _, test := range []struct {
		deadlines []time.Duration
		want      time.Duration
	}{
		{[]time.Duration{6 * time.Second, 15 * time.Second}, 3300 * time.Millisecond},
		{[]time.Duration{9 * time.Second, 9 * time.Second}, 3300 * time.Millisecond},
		{[]time.Duration{1500 * time.Millisecond, 800 * time.Millisecond}, 1800 * time.Millisecond},
		{[]time.Duration{100 * time.Millisecond}, acceptAfterStop},
	} {
		classes := make([]eidertrail.Class, len(test.deadlines))
		for i, deadline := range test.deadlines {
			classes[i].Deadline = deadline
		}
		if got := drainTimeout(classes); got != test.want {
			t.Errorf("deadlines %v: %v, want %v", test.deadlines, got, test.want)
		}
	}
}
