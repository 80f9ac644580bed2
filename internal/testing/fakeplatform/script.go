// Package fakeplatform has the tests' fakes of what surrounds the program: pools with their processors, listeners, DNS
// and the datagram network of a fleet, over pipes inside a synctest bubble or over loopback; and it runs the random
// scripts of fuzz tests.
package fakeplatform

import (
	"testing"
	"testing/synctest"
)

const (
	// scriptStep is the bytes of a step: which, and its argument.
	scriptStep = 2
	// maxScript bounds the bytes of a script that are run.
	maxScript = 128
)

// RunScript runs a script two bytes at a time: which step, and its argument. After each step all goroutines of the
// bubble settle, and check compares with the model.
func RunScript(script []byte, steps []func(arg byte), check func()) {
	for i := 0; i+1 < len(script) && i < maxScript; i += scriptStep {
		steps[int(script[i])%len(steps)](script[i+1])
		synctest.Wait()
		check()
	}
}

// FuzzScripts runs play with the corpus and with what the fuzzer makes, each in a bubble with a clock of its own.
func FuzzScripts(f *testing.F, corpus []string, play func(t *testing.T, script []byte)) {
	f.Helper()
	for _, script := range corpus {
		f.Add([]byte(script))
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		synctest.Test(t, func(t *testing.T) { play(t, script) })
	})
}
