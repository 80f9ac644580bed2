package trial

import (
	"context"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"eidertrail/internal/trial/plan"
)

// A reload beside the start of a second process gave that the first one's address, and it waited for it for ever.
func TestProcess_ReloadKeepsTheAddressOfTheProcessThatStarts(t *testing.T) {
	const slotOfItsOwn = 153
	w := newWorld(plan.Generate(1, nil), Options{Program: "true", Folder: t.TempDir(), Slot: slotOfItsOwn})
	if err := os.MkdirAll(w.folder, temporaryMode); err != nil {
		t.Fatal(err)
	}
	controller := newProcess(w, 0)
	listed, err := newList(w, controller)
	if err != nil {
		t.Fatal(err)
	}
	defer listed.close()
	defer w.tasks.Wait()
	first, err := controller.launch(context.Background(), listed.known(), false)
	if err != nil {
		t.Fatal(err)
	}
	controller.current = first
	second, err := controller.launch(context.Background(), listed.known(), true)
	if err != nil {
		t.Fatal(err)
	}

	if err := controller.rewriteConfig(); err != nil {
		t.Fatal(err)
	}

	text, err := os.ReadFile(controller.configPath())
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), second.control) || strings.Contains(string(text), first.control) {
		t.Errorf("%s has not the address %s", text, second.control)
	}
}

// A process that another fault killed 2.3 s after SIGTERM, where the page allows 3.7 s, owed the answers to what came
// in between.
func TestProcess_KillBeforeItsTimeCountsAsOutright(t *testing.T) {
	const slotOfItsOwn = 154
	drawn := plan.Generate(1, nil)
	program := writeScript(t, "exec sleep 60\n")
	w := newWorld(drawn, Options{Program: program, Folder: t.TempDir(), Slot: slotOfItsOwn})
	if err := os.MkdirAll(w.folder, temporaryMode); err != nil {
		t.Fatal(err)
	}
	controller := newProcess(w, 0)
	listed, err := newList(w, controller)
	if err != nil {
		t.Fatal(err)
	}
	defer listed.close()
	defer w.tasks.Wait()
	for name, test := range map[string]struct {
		stoppedFor time.Duration
		early      bool
	}{
		"before its time": {w.earliestKill() / 2, true},
		"in its time":     {w.earliestKill(), false},
	} {
		started, err := controller.launch(context.Background(), listed.known(), false)
		if err != nil {
			t.Fatal(err)
		}
		controller.mu.Lock()
		started.stopped = time.Now().Add(-test.stoppedFor)
		ended := started.signal(syscall.SIGKILL)
		controller.mu.Unlock()
		<-ended
		exited, killed, stopped := controller.ended(started.name)
		if !exited || !killed || stopped.IsZero() != test.early {
			t.Errorf("%s: exited %t, killed %t, stopped %v", name, exited, killed, stopped)
		}
	}
}
