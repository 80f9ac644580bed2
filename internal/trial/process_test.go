package trial

import (
	"context"
	"os"
	"strings"
	"testing"

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
