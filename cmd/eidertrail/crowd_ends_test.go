package main

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"eidertrail/internal/testing/daemontest"
)

// messageCopied is the log's message when ends of calls go to connections that may be anybody's.
const messageCopied = "pending call ends copied to unverified connections"

// collectEnds has a caller connect, place a call and take ends of calls, until it has all or the connection ends. It
// reports whether it has them.
func collectEnds(address, callID string, missing map[string]bool) bool {
	conn, err := net.DialTimeout("tcp", address, soon)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(daemontest.SetupLine(callID))); err != nil {
		return false
	}
	if err := conn.SetReadDeadline(time.Now().Add(soon)); err != nil {
		return false
	}
	for lines := bufio.NewScanner(conn); len(missing) > 0 && lines.Scan(); {
		if message := gjson.Parse(lines.Text()); message.Get("type").Str == "release" {
			delete(missing, message.Get("id").Str)
		}
	}
	return len(missing) == 0
}

// Ends of calls that came beside hundreds of a crowd on half of the limits never reached the callers that came later.
func TestCrowd_EndsWaitForTheNextCaller(t *testing.T) {
	const calls, attempts, crowdPart = 200, 50, `{"type":"setup","id":"`
	controller := newReplaceableController(t)
	controller.change, controller.wrap = limited(crowdMemoryMB, crowdSockets), withDescriptors(crowdSockets)
	pool, address := callingPool(t)
	controller.pool = address
	process := controller.startReady()
	watched := watchResources()
	watched.add(process.cmd.Process.Pid)
	caller, missing := daemontest.Dial(t, controller.listen), map[string]bool{}
	for n := range calls {
		id := fmt.Sprintf("%016x", n)
		place(t, caller, id)
		missing[id] = true
	}
	caller.Close()
	crowd := startCrowd(controller.listen, crowdSize, crowdPart)
	for id := range missing {
		pool.Bye(id, 16)
	}
	process.awaitMessage(messageCopied)
	told := false
	for n := 0; n < attempts && !told; n++ {
		told = collectEnds(controller.listen, fmt.Sprintf("%016x", calls+n), missing)
	}
	if !told {
		t.Errorf("%d of %d ends did not reach callers that came %d times", len(missing), calls, attempts)
	}
	crowd.end()
	watched.end()
	process.stop()
	state := process.cmd.ProcessState
	t.Logf("peaks: %d KB, %d descriptors; processor %v", watched.memoryKB, watched.descriptors,
		state.UserTime()+state.SystemTime())
	if watched.memoryKB > crowdMemoryMB<<10 || watched.descriptors > crowdSockets {
		t.Errorf("%d KB of %d MB, %d descriptors of %d",
			watched.memoryKB, crowdMemoryMB, watched.descriptors, crowdSockets)
	}
}
