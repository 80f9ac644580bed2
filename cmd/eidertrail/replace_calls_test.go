package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// callingPool is a pool that answers every set-up, and its address.
func callingPool(t *testing.T) (*fakeplatform.Pool, string) {
	t.Helper()
	pool := &fakeplatform.Pool{OnRequest: func(request fakeplatform.Request) {
		if request.Method == "INVITE" {
			request.Answer(200, "", "hello\r\n")
		}
	}}
	return pool, pool.Listen(t)
}

// wantEnd waits for the end of a call.
func wantEnd(t *testing.T, caller *daemontest.Caller, id string) {
	t.Helper()
	if m := caller.Next(); m.Type != "release" || m.ID != id {
		t.Errorf("%+v, want the end of %s", m, id)
	}
}

// The end of a call comes to the old process, which has no connection of callers any more: it reaches its caller on a
// connection to the new one.
func TestReplace_EndThatComesToTheOldProcess(t *testing.T) {
	t.Parallel()
	const id = "00000000000000a1"
	controller := newReplaceableController(t)
	oldsPool, oldsAddress := callingPool(t)
	first := controller.startAt(reserveAddress(t), oldsAddress)
	first.awaitReady()
	before := daemontest.Dial(t, controller.listen)
	place(t, before, id)
	second := controller.start()
	first.awaitMessage(messageReplaced)
	<-before.Ended() // the old process empties
	caller := daemontest.Dial(t, controller.listen)
	place(t, caller, "00000000000000a2")
	oldsPool.Bye(id, 16)
	wantEnd(t, caller, id)
	first.stop()
	second.stop()
}

// replacement is a process that a second one has replaced, and a caller whose connection is left at the first: a set-up
// is open on it beside an established call.
type replacement struct {
	controller    *replaceableController
	first, second *controllerProcess
	newPool       *fakeplatform.Pool // of the second process alone
	caller        *daemontest.Caller
}

// replaceBesideACaller replaces a process at which a call of that id is established.
func replaceBesideACaller(t *testing.T, id string) replacement {
	t.Helper()
	const pending = "00000000000000a2"
	controller := newReplaceableController(t)
	newPool, newAddress := callingPool(t)
	oldPool := &fakeplatform.Pool{OnRequest: func(request fakeplatform.Request) {
		if request.Method == "INVITE" && request.CallID == id {
			request.Answer(200, "", "hello\r\n")
		}
	}}
	first := controller.startAt(reserveAddress(t), oldPool.Listen(t))
	first.awaitReady()
	caller := daemontest.Dial(t, controller.listen)
	place(t, caller, id)
	caller.Setup(pending)
	second := controller.startAt(reserveAddress(t), newAddress)
	first.awaitMessage(messageReplaced)
	return replacement{controller: controller, first: first, second: second, newPool: newPool, caller: caller}
}

// An end that came to the old process was written to connections of crowds at both, and its caller never got it.
func TestReplace_EndReachesACallerBesideCrowdsAtBothProcesses(t *testing.T) {
	t.Parallel()
	const id, partOfSetup = "00000000000000b1", `{"type":"setup","id":"`
	controller := newReplaceableController(t)
	oldsPool, oldsAddress := callingPool(t)
	first := controller.startAt(reserveAddress(t), oldsAddress)
	first.awaitReady()
	before := daemontest.Dial(t, controller.listen)
	place(t, before, id)
	strangerAtFirst := daemontest.Dial(t, controller.listen)
	strangerAtFirst.Ping("p") // the first process has accepted it
	strangerAtFirst.SendText(partOfSetup)
	second := controller.start()
	first.awaitMessage(messageReplaced)
	<-before.Ended() // the old process empties
	stranger := daemontest.Dial(t, controller.listen)
	stranger.SendText(partOfSetup)
	oldsPool.Bye(id, 16)
	wantEnd(t, stranger, id)

	caller := daemontest.Dial(t, controller.listen)
	wantEnd(t, caller, id)
	place(t, caller, "00000000000000b2")
	first.stop()
	second.stop()
}

// An end that came to the new process, which held a crowd, reaches its caller at the old one.
func TestReplace_EndReachesACallerOfTheOldProcessBesideACrowdAtTheNewOne(t *testing.T) {
	t.Parallel()
	const id, partOfSetup = "00000000000000a1", `{"type":"setup","id":"`
	replaced := replaceBesideACaller(t, id)
	for range 3 {
		stranger := daemontest.Dial(t, replaced.controller.listen)
		stranger.Ping("p") // the new process has accepted it
		stranger.SendText(partOfSetup)
	}
	replaced.newPool.Bye(id, 16)
	wantEnd(t, replaced.caller, id)
	replaced.first.stop()
	replaced.second.stop()
}

// The end of a call comes to the new process, which has no connection of callers yet: it reaches its caller on the one
// that is left at the old process, where a set-up is open.
func TestReplace_EndThatComesToTheNewProcess(t *testing.T) {
	t.Parallel()
	const id = "00000000000000c1"
	replaced := replaceBesideACaller(t, id)
	replaced.newPool.Bye(id, 16)
	wantEnd(t, replaced.caller, id)
	replaced.first.stop()
	replaced.second.stop()
}

// An end that came to a second process that did not accept yet stayed there until it did: the old one, which has the
// callers, did not hear of it.
func TestReplace_EndThatComesToAProcessThatIsNotPrepared(t *testing.T) {
	t.Parallel()
	const id = "00000000000000d1"
	controller := newReplaceableController(t)
	_, oldAddress := callingPool(t)
	first := controller.startAt(reserveAddress(t), oldAddress)
	first.awaitReady()
	caller := daemontest.Dial(t, controller.listen)
	place(t, caller, id)

	newPool, newAddress := callingPool(t)
	controller.change = func(configuration string) string { // a pool more, whose connection does not come up
		silent := fmt.Sprintf(`"targets":[{"uid":"s-2","endpoint":%q,"pod_group":0,"state":"up"},`, silentAddress(t))
		return strings.Replace(configuration, `"targets":[`, silent, 1)
	}
	second := controller.startAt(reserveAddress(t), newAddress)
	waitFor(t, "the second process's connection to its pool", func() bool { return newPool.AcceptedConnections() == 1 })
	newPool.Bye(id, 16)
	wantEnd(t, caller, id)
	if first.logged(messageReplaced) > 0 {
		t.Error("the end came only once the second process served")
	}
	second.kill()
	first.stop()
}

// What stands at the old process when it ends goes on, and its end comes to the new one.
func TestReplace_CallOutlivesItsProcess(t *testing.T) {
	t.Parallel()
	const id = "00000000000000a1"
	controller := newReplaceableController(t)
	pool, address := callingPool(t)
	controller.pool = address
	first := controller.startReady()
	place(t, daemontest.Dial(t, controller.listen), id)
	second := controller.start()
	first.awaitMessage(messageReplaced)
	first.stop()
	caller := daemontest.Dial(t, controller.listen)
	place(t, caller, "00000000000000a2")
	pool.Bye(id, 16)
	wantEnd(t, caller, id)
	second.stop()
}

// The endpoint list has an update that the new process was not started with: it has read that when it says yes.
func TestReplace_ListIsReadBeforeTheYes(t *testing.T) {
	t.Parallel()
	controller := newReplaceableController(t)
	old, drained := callingPool(t)
	pool, added := callingPool(t)
	update := fmt.Sprintf(`{"no":2,"items":[{"no":2,"roster":{"all":false,"targets":[
{"uid":"s-1","endpoint":%q,"pod_group":0,"state":"draining"},
{"uid":"s-2","endpoint":%q,"pod_group":0,"state":"up"}]}}]}`, drained, added)
	const listHeldBack = 1500 * time.Millisecond // from the start; the list is waited for 2 s
	polled, answer := make(chan struct{}, 1), make(chan struct{})
	list := daemontest.ServeEndpointList(t, func(number int, w http.ResponseWriter, r *http.Request) {
		if number > 0 {
			<-r.Context().Done()
			return
		}
		polled <- struct{}{}
		select {
		case <-answer:
			_, _ = w.Write([]byte(update))
		case <-r.Context().Done():
		}
	})
	controller.pool = drained
	first := controller.startReady() // without a list
	controller.change = func(configuration string) string {
		return strings.Replace(configuration, `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, list), 1)
	}
	began := time.Now()
	second := controller.start()
	<-polled
	waitFor(t, "the second process's connection to its pool", func() bool { return old.AcceptedConnections() == 2 })
	for time.Since(began) < listHeldBack {
		if second.ready() {
			t.Fatal("a yes before the list was read")
		}
	}
	close(answer)
	second.awaitReady()
	place(t, daemontest.Dial(t, controller.listen), "00000000000000a1")
	if connections := pool.AcceptedConnections(); connections == 0 {
		t.Error("the pool that the list has added was not connected to")
	}
	first.stop()
	second.stop()
}

// The endpoint list is down, answers nothing, or moves while a process is replaced: the new one says yes in time.
func TestReplace_WhileTheListFails(t *testing.T) {
	t.Parallel()
	const yesDue = 6 * time.Second
	silent := daemontest.ServeEndpointList(t, func(_ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for _, test := range []struct{ name, list, movedTo string }{
		{"down", "127.0.0.1:1", ""}, {"silent", silent, ""}, {"moved", "127.0.0.1:1", silent},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			controller := newReplaceableController(t)
			withList := func(address string) func(string) string {
				return func(configuration string) string {
					return strings.Replace(configuration, `"seed"`, fmt.Sprintf(`"bulletin":%q,"seed"`, address), 1)
				}
			}
			controller.change = withList(test.list)
			first := controller.startReady()
			began := time.Now()
			second := controller.start()
			if test.movedTo != "" {
				second.awaitMessage(messageBeside)
				rewriteConfiguration(t, second.configPath, test.list, test.movedTo)
				first.signal(syscall.SIGHUP)
				second.signal(syscall.SIGHUP)
			}
			second.awaitReady()
			if took := time.Since(began); took > yesDue {
				t.Errorf("the yes came after %v", took)
			}
			place(t, daemontest.Dial(t, controller.listen), "00000000000000a1")
			first.stop()
			second.stop()
		})
	}
}

// rewriteConfiguration replaces a text of a configuration.
func rewriteConfiguration(t *testing.T, path, before, after string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), before, after, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// members is how many members a process of the fleet holds alive, as its log says at SIGUSR1.
func (p *controllerProcess) members() int {
	p.t.Helper()
	before := p.logged("counters")
	p.signal(syscall.SIGUSR1)
	waitFor(p.t, "the counters", func() bool { return p.logged("counters") > before })
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := map[int64]string{}
	for _, line := range p.lines {
		if gjson.Get(line, "message").Str == "member state" {
			latest[gjson.Get(line, "member").Int()] = gjson.Get(line, "is").Str
		}
	}
	alive := 0
	for _, state := range latest {
		if state == "alive" {
			alive++
		}
	}
	return alive
}

// All processes of a fleet are replaced at once: each new process is the member that the old one was.
func TestReplace_AllProcessesOfAFleetAtOnce(t *testing.T) {
	t.Parallel()
	const size = 3
	peers := make([]string, size)
	for i := range peers {
		peers[i] = strconv.Quote(reserveAddress(t))
	}
	cluster := daemontest.WriteFile(t, "cluster.toml", clusterFile(""))
	controllers := make([]*replaceableController, size)
	firsts, seconds := make([]*controllerProcess, size), make([]*controllerProcess, size)
	for i := range controllers {
		controllers[i] = newReplaceableController(t)
		controllers[i].args = []string{"--cluster", cluster}
		controllers[i].change = func(configuration string) string {
			configuration = strings.Replace(configuration, `"balancers":1,"index":0`,
				fmt.Sprintf(`"balancers":%d,"index":%d`, size, i), 1)
			return strings.Replace(configuration, `"seed"`,
				fmt.Sprintf(`"peer_listen":%s,"peers":[%s],"seed"`, peers[i], strings.Join(peers, ",")), 1)
		}
		firsts[i] = controllers[i].start()
	}
	for _, first := range firsts {
		first.awaitReady()
		waitFor(t, "all members alive", func() bool { return first.members() == size })
	}
	for i, controller := range controllers {
		seconds[i] = controller.start()
	}
	for i, second := range seconds {
		second.awaitReady()
		firsts[i].awaitMessage(messageReplaced)
		if held := firsts[i].members(); held != size { // as it held them last
			t.Errorf("the old process %d logs %d members", i, held)
		}
		firsts[i].signal(syscall.SIGTERM)
	}
	for i, second := range seconds {
		firsts[i].awaitEnd()
		waitFor(t, "all members alive after the change", func() bool { return second.members() == size })
	}
	for _, second := range seconds {
		second.signal(syscall.SIGTERM)
	}
	for _, second := range seconds {
		second.awaitEnd()
	}
}
