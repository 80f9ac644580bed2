package eidertrail

import (
	"fmt"
	"time"
)

func Example() {
	controller, err := New(Settings{
		Nodes: 1, OwnExchange: -1, ReleaseWait: 300 * time.Millisecond,
		Classes: []Class{{Name: "call", LatencyObjective: time.Second, Deadline: 6 * time.Second, PriorityWeight: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []Action) {
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				fmt.Printf("call %d goes to %s\n", s.Call, s.Server)
			}
		}
	}
	var actions []Action
	servers := []Server{{ID: "core-1", Pool: 0}, {ID: "core-2", Pool: 1}}
	actions = controller.Handle(0, []Event{ServerList{Kind: Cached, Servers: servers}}, actions[:0])
	show(actions)
	actions = controller.Handle(time.Second, []Event{Call{ID: 1, Pool: 0, Timeout: 3 * time.Second}}, actions[:0])
	show(actions)
	full := Outcome{Call: 1, Attempt: 0, Status: Full, Cause: ProcessorFull}
	actions = controller.Handle(time.Second+20*time.Millisecond, []Event{full}, actions[:0])
	show(actions)
	// Output:
	// call 1 goes to core-1
	// call 1 goes to core-2
}
