package trial

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// The loopback addresses of a trial: 127.A.SLOT.HOST, with A by this program's process, so that trials of several
// programs and slots do not meet.
const (
	firstNet, nets   = 64, 128
	processHost      = 10 // and those after it, one a process
	listHost         = 40
	linkHost         = 80
	poolsPerProcess  = 16
	sipPort          = 5060
	sitePort         = 5059
	controlPort      = 5061
	firstListPort    = 4222
	stallInterval    = 10 * time.Millisecond
	maxHostsAddition = 200
)

// network gives the addresses of one trial.
type network struct{ prefix string }

func newNetwork(slot int) network {
	return network{prefix: fmt.Sprintf("127.%d.%d.", firstNet+os.Getpid()%nets, slot%maxHostsAddition)}
}

func (n network) process(index int) string {
	return fmt.Sprintf("%s%d:%d", n.prefix, processHost+index, sipPort)
}

// site is the address of a process for WebSocket sites.
func (n network) site(index int) string {
	return fmt.Sprintf("%s%d:%d", n.prefix, processHost+index, sitePort)
}

// control is the address for operators of an incarnation.
func (n network) control(index, incarnation int) string {
	return fmt.Sprintf("%s%d:%d", n.prefix, processHost+index, controlPort+incarnation)
}

func (n network) list(index, generation int) string {
	return fmt.Sprintf("%s%d:%d", n.prefix, listHost+index, firstListPort+generation)
}

func (n network) link(process, pool int) string {
	return fmt.Sprintf("%s%d:%d", n.prefix, linkHost+process*poolsPerProcess+pool, sipPort)
}

// stallMeter measures how late this program's own timers are: where they are late, its observations are too.
type stallMeter struct{ worst atomic.Int64 }

func (s *stallMeter) run(ctx context.Context) {
	for {
		began := time.Now()
		if !sleep(ctx, stallInterval) {
			return
		}
		late := (time.Since(began) - stallInterval).Nanoseconds()
		if late > s.worst.Load() {
			s.worst.Store(late)
		}
	}
}

// Worst is the longest delay so far.
func (s *stallMeter) Worst() time.Duration { return time.Duration(s.worst.Load()) }
