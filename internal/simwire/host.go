// Package simwire translates between the wire of the platform's simulator and the controller's events and actions. A
// line of the wire is a batch of messages for some instances; its reply holds their orders. The package decides
// nothing.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"eidertrail"
)

// The messages that concern an instance itself; the others are events of its controller.
const (
	helloMessage  = "Hello"  // starts an instance, or starts it again, with its settings
	killedMessage = "Killed" // ends an instance
	censusMessage = "Census" // a list of servers, to which later messages refer by number
)

// Host keeps the instances behind one wire, and the lists that they share by number.
type Host struct {
	instances map[int]*instance
	lists     map[int][]eidertrail.Server
}

// instance is one controller.
type instance struct {
	controller    *eidertrail.Controller // nil once killed
	reportNames   []string               // of the values in load reports
	maxRetryAfter time.Duration          // that a rejection may carry; 0: it carries none

	events  []eidertrail.Event // reused by each batch, as are the actions
	actions []eidertrail.Action
}

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{instances: map[int]*instance{}, lists: map[int][]eidertrail.Server{}}
}

type batch struct {
	Clock *int64          `json:"clock"`
	Nodes []instanceBatch `json:"nodes"`
}

type instanceBatch struct {
	ID       *int              `json:"node_id"`
	Messages []json.RawMessage `json:"news"`
}

// Batch handles one line of the wire, and appends the reply line to reply. It is all or nothing: on an error no reply
// may be written.
func (h *Host) Batch(line, reply []byte) ([]byte, error) {
	var decoded batch
	if err := json.Unmarshal(line, &decoded); err != nil {
		return nil, fmt.Errorf("not a batch of this wire: %w", err)
	}
	if decoded.Clock == nil {
		return nil, errors.New("a batch without a clock")
	}
	now := time.Duration(*decoded.Clock)
	reply = append(reply, `{"nodes":[`...)
	first := true
	for _, part := range decoded.Nodes {
		if part.ID == nil {
			return nil, errors.New("a batch with a node that has no node_id")
		}
		target, err := h.deliver(now, *part.ID, part.Messages)
		if err != nil {
			return nil, fmt.Errorf("node %d: %w", *part.ID, err)
		}
		if len(target.actions) == 0 {
			continue
		}
		if !first {
			reply = append(reply, ',')
		}
		first = false
		if reply, err = target.appendOrders(reply, *part.ID); err != nil {
			return nil, err
		}
	}
	return append(reply, "]}\n"...), nil
}

// deliver handles the messages for the instance of an id, and leaves the actions of its controller with it.
func (h *Host) deliver(now time.Duration, id int, messages []json.RawMessage) (*instance, error) {
	target := h.instances[id]
	if target == nil {
		target = &instance{}
	}
	target.events, target.actions = target.events[:0], target.actions[:0]
	for _, raw := range messages {
		message, err := openRow(raw)
		if err != nil {
			return nil, err
		}
		if err := h.handle(id, target, message); err != nil {
			return nil, err
		}
	}
	if target.controller != nil {
		target.actions = target.controller.Handle(now, target.events, target.actions)
	}
	return target, nil
}

// handle handles one message. The events before a start or an end of the instance are dropped with the process that
// they were for.
func (h *Host) handle(id int, target *instance, message *row) error {
	switch message.name {
	case censusMessage:
		return h.storeList(message)
	case helloMessage:
		if err := target.start(message); err != nil {
			return err
		}
		h.instances[id] = target
		return nil
	}
	if h.instances[id] == nil {
		return fmt.Errorf("%s for an unknown instance: it has had no Hello", message.name)
	}
	if message.name == killedMessage {
		target.controller, target.events = nil, target.events[:0]
		return nil
	}
	event, err := h.decodeEvent(message, target.reportNames)
	if err != nil {
		return err
	}
	if event != nil && target.controller != nil {
		target.events = append(target.events, event)
	}
	return nil
}

// start replaces the instance's controller by a new one with the settings of a Hello.
func (n *instance) start(hello *row) error {
	started, err := decodeHello(hello)
	if err != nil {
		return err
	}
	n.controller, n.reportNames, n.maxRetryAfter = started.controller, started.reportNames, started.maxRetryAfter
	n.events = n.events[:0]
	return nil
}

// appendOrders appends the instance's part of a reply.
func (n *instance) appendOrders(reply []byte, id int) ([]byte, error) {
	reply = append(reply, `{"node_id":`...)
	reply = strconv.AppendInt(reply, int64(id), 10)
	reply = append(reply, `,"orders":[`...)
	for i, action := range n.actions {
		if i > 0 {
			reply = append(reply, ',')
		}
		var err error
		if reply, err = appendAction(reply, action, n.maxRetryAfter); err != nil {
			return nil, err
		}
	}
	return append(reply, `]}`...), nil
}
