// The tests in this file are characterisation tests: they record what the program does today, so that a change which is
// meant to change nothing can be shown to do so. They hold whole sessions of the program byte for byte: its
// standard output, its standard error and its exit status.
// On a purposeful change the files under testdata/characterization are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./cmd/simadapter -run TestCharacterization
//
// and the commit has to say why they changed.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"eidertrail/internal/testing/recorded"
)

// asProgram has the test's own binary run as the program.
const asProgram = "EIDERTRAIL_TEST_AS_WIREHOST"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// goType is what an error text of encoding/json tells of Go types. It is masked, as it is no part of the wire.
var goType = regexp.MustCompile(`Go struct field \w*\.|of type (\[\])?(sim)?wire\.\w+|of type struct \{.*\}`)

func masked(text string) string {
	return goType.ReplaceAllStringFunc(text, func(found string) string {
		if strings.HasPrefix(found, "Go struct field") {
			return "Go struct field TYPE."
		}
		return "of type TYPE"
	})
}

// played runs the program on an input.
func played(t *testing.T, input []byte) (output, errorOutput string, status int) {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(program)
	c.Env = append(os.Environ(), asProgram+"=1")
	c.Stdin = bytes.NewReader(input)
	var out, errorText bytes.Buffer
	c.Stdout, c.Stderr = &out, &errorText
	var exit *exec.ExitError
	if err := c.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return out.String(), masked(errorText.String()), c.ProcessState.ExitCode()
}

// The inputs are files as well: whole sessions of two instances, with every message, outcome and key of the settings.
func TestCharacterization_Sessions(t *testing.T) {
	inputs, err := filepath.Glob(recorded.Path("*.in"))
	if err != nil || len(inputs) < 2 {
		t.Fatalf("inputs %q, %v", inputs, err)
	}
	for _, path := range inputs {
		input, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		output, errorOutput, status := played(t, input)
		recorded.Compare(t, strings.TrimSuffix(filepath.Base(path), ".in")+".out", output)
		if errorOutput != "" || status != 0 {
			t.Errorf("%s: standard error %q, exit status %d", path, errorOutput, status)
		}
	}
}

func TestCharacterization_Endings(t *testing.T) {
	const empty = `{"clock":1,"nodes":[]}`
	hello := func(settings string) string {
		return `{"clock":1,"nodes":[{"node_id":3,"news":[["Hello",5,` + settings + `]]}]}`
	}
	var b strings.Builder
	for _, input := range []string{
		" \n\t\r\n", "\n\n" + empty + "\r\n\n" + empty, empty + "\nwhat\n" + empty + "\n", "{", empty + "\n\n{}\n",
		`{"clock":"x","nodes":[]}` + "\n",
		`{"clock":1,"nodes":[{"node_id":3,"news":[["Timer",1]]}]}` + "\n",
		hello(`{"balancers":0,"request_classes":[{"deadline":1}]}`),
		hello(`{"balancers":1,"request_classes":[{"deadline":1}]}`) + "\n" +
			`{"clock":2,"nodes":[{"node_id":3,"news":[["Endpoints","full",1,0]]}]}` + "\n",
	} {
		output, errorOutput, status := played(t, []byte(input))
		// The lines were recorded while the program was called wirehost.
		errorOutput = strings.Replace(errorOutput, "simadapter: ", "wirehost: ", 1)
		fmt.Fprintf(&b, "input %q\noutput %q\nerror %q\nexit status %d\n", input, output, errorOutput, status)
	}
	recorded.Compare(t, "endings.txt", b.String())
}
