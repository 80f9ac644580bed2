package daemon

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// A SIGTERM that comes during the start is kept until the daemon serves, a second one changes nothing, and what was half
// read at the first is read to its end and answered.
func TestServe_SIGTERMDuringTheStartAndTwice(t *testing.T) {
	at := &fakeplatform.Pool{OnRequest: func(q fakeplatform.Request) {
		if q.Method == "INVITE" {
			q.Answer(200, "", "hello\r\n")
		}
	}}
	d, err := Start(context.Background(), Options{Config: daemontest.WriteFile(t, "config.json", daemontest.Configuration("127.0.0.1:0", at.Listen(t)))}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	c := daemontest.Dial(t, d.listener.Addr().String())
	line := `{"type":"setup","id":"00000000000000c1","fields":{"class":"voice","left":"9000","key":"7f"},"sdp":"x"}` + "\n"
	io.WriteString(c, line[:40])
	s := newSignals()
	s.Terminate = make(chan os.Signal, 2) // as in run
	s.Terminate <- syscall.SIGTERM        // before the daemon serves
	s.Terminate <- syscall.SIGTERM
	ended := make(chan error, 1)
	go func() { ended <- d.Serve(s) }()
	for !d.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	io.WriteString(c, line[40:])
	if m := c.Next(); m.Type != "answer" || m.ID != "00000000000000c1" {
		t.Errorf("%+v", m)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if len(s.Terminate) != 1 {
		t.Error("the second SIGTERM was taken for something")
	}
}

// Guards against a planned stop that outlasts SIGKILL on a site whose classes give up sooner than 3 s: the
// last answer is due before the longest deadline (counted as 3 s at most) plus 0.7 s.
func TestDrainTimeout_EndsBeforeSIGKILL(t *testing.T) {
	for _, k := range []struct {
		deadlines []time.Duration
		want      time.Duration
	}{
		{[]time.Duration{6 * time.Second, 15 * time.Second}, 3300 * time.Millisecond},
		{[]time.Duration{9 * time.Second, 9 * time.Second}, 3300 * time.Millisecond},
		{[]time.Duration{1500 * time.Millisecond, 800 * time.Millisecond}, 1800 * time.Millisecond},
		{[]time.Duration{100 * time.Millisecond}, acceptAfterStop},
	} {
		var classes []eidertrail.Class
		for _, d := range k.deadlines {
			classes = append(classes, eidertrail.Class{Deadline: d})
		}
		if got := drainTimeout(classes); got != k.want {
			t.Errorf("deadlines %v: %v, want %v", k.deadlines, got, k.want)
		}
	}
}
