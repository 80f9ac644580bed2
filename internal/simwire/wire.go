// Package wire translates between the simulator's wire and the controller's
// events and actions. It decides nothing.
package simwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"eidertrail"
)

// Host keeps the instances behind one wire and the lists that they share by number.
type Host struct {
	nodes map[int]*node
	lists map[int][]eidertrail.Server
}

type node struct {
	controller *eidertrail.Controller // nil once killed
	stats      []string
	holdOff    time.Duration // the longest that a refusal may tell to stay away, 0: it has no place for that
	events     []eidertrail.Event
	actions    []eidertrail.Action
}

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{nodes: map[int]*node{}, lists: map[int][]eidertrail.Server{}}
}

type batch struct {
	Clock *int64      `json:"clock"`
	Nodes []nodeBatch `json:"nodes"`
}

type nodeBatch struct {
	ID   *int              `json:"node_id"`
	News []json.RawMessage `json:"news"`
}

// Batch takes one line of the wire and appends the reply line to reply. It is
// all or nothing: on an error no reply is to be written.
func (h *Host) Batch(line, reply []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("not a batch of this wire: %w", err)
	}
	if b.Clock == nil {
		return nil, fmt.Errorf("a batch without a clock")
	}
	now := time.Duration(*b.Clock)
	reply = append(reply, `{"nodes":[`...)
	first := true
	for _, nb := range b.Nodes {
		if nb.ID == nil {
			return nil, fmt.Errorf("a batch with a node that has no node_id")
		}
		actions, holdOff, err := h.deliver(now, *nb.ID, nb.News)
		if err != nil {
			return nil, fmt.Errorf("node %d: %w", *nb.ID, err)
		}
		if len(actions) == 0 {
			continue
		}
		if !first {
			reply = append(reply, ',')
		}
		first = false
		reply = append(reply, `{"node_id":`...)
		reply = strconv.AppendInt(reply, int64(*nb.ID), 10)
		reply = append(reply, `,"orders":[`...)
		for i, a := range actions {
			if i > 0 {
				reply = append(reply, ',')
			}
			if reply, err = appendAction(reply, a, holdOff); err != nil {
				return nil, err
			}
		}
		reply = append(reply, `]}`...)
	}
	return append(reply, "]}\n"...), nil
}

func (h *Host) deliver(now time.Duration, id int, news []json.RawMessage) ([]eidertrail.Action, time.Duration, error) {
	n := h.nodes[id]
	if n == nil {
		n = &node{}
	}
	events, actions := n.events[:0], n.actions[:0]
	for _, raw := range news {
		v, err := openRow(raw)
		if err != nil {
			return nil, 0, err
		}
		switch v.name {
		case "Census":
			if err := h.census(v); err != nil {
				return nil, 0, err
			}
			continue
		case "Hello":
			c, stats, holdOff, err := hello(v)
			if err != nil {
				return nil, 0, err
			}
			n.holdOff = holdOff
			n.controller, n.stats, events, actions = c, stats, events[:0], actions[:0]
			h.nodes[id] = n
			continue
		}
		if h.nodes[id] == nil {
			return nil, 0, fmt.Errorf("%s for an unknown instance: it has had no Hello", v.name)
		}
		if v.name == "Killed" {
			n.controller, events, actions = nil, events[:0], actions[:0]
			continue
		}
		e, err := h.event(v, n.stats)
		if err != nil {
			return nil, 0, err
		}
		if e != nil && n.controller != nil {
			events = append(events, e)
		}
	}
	if n.controller != nil {
		actions = n.controller.Handle(now, events, actions)
	}
	n.events, n.actions = events, actions
	return actions, n.holdOff, nil
}

func (h *Host) event(v *row, stats []string) (eidertrail.Event, error) {
	var e eidertrail.Event
	switch v.name {
	case "JobIn":
		options := int(v.integer(8, "options"))
		e = eidertrail.Call{
			ID:  eidertrail.CallID(v.unsigned(0, "txn")),
			Key: v.unsigned(3, "partition_key"), Class: int(v.integer(5, "tier_class")),
			Timeout: time.Duration(v.integer(6, "expires_in")), Pool: int(v.number(9, "dest", -1)),
			Transit: options&8 != 0,
		}
	case "Verdict":
		o := eidertrail.Outcome{
			Call: eidertrail.CallID(v.unsigned(0, "txn")), Attempt: int(v.integer(1, "leg")),
			Took:   time.Duration(v.integer(4, "cost_time")),
			Closed: v.boolean(5, "complete"),
		}
		status, known := statuses[v.text(3, "verdict")]
		if !known {
			return nil, v.err
		}
		o.Status = status
		note := v.integer(6, "note")
		if note == beyondFull {
			o.Cause = eidertrail.Returned
		} else if note > 0 {
			o.Cause = eidertrail.Cause(note & 15)
			o.RetryAfter = time.Duration(note>>4) * time.Millisecond
		}
		if r, any := v.report(7, "feedback", stats); any {
			r.Server = eidertrail.ServerID(v.text(2, "server"))
			o.Report = &r
		}
		e = o
	case "AckFirst":
		e = eidertrail.Answered{
			Call: eidertrail.CallID(v.unsigned(0, "txn")), Attempt: int(v.integer(1, "leg")),
			Took: time.Duration(v.integer(3, "cost_time")),
		}
	case "Hangup":
		e = eidertrail.CallerGone{Call: eidertrail.CallID(v.unsigned(0, "txn"))}
	case "Timer":
		e = eidertrail.Wake{Token: v.unsigned(0, "nonce")}
	case "Endpoints":
		kind, known := kinds[v.text(0, "kind")]
		l := eidertrail.ServerList{Kind: kind}
		if v.err == nil && !known {
			return nil, nil
		}
		if kind != eidertrail.Failed {
			servers, listed := h.lists[int(v.integer(2, "buffer"))]
			if v.err == nil && !listed {
				return nil, fmt.Errorf("Endpoints names a Census that has not come")
			}
			l.Servers = servers
		}
		e = l
	case "Pong":
		status, server := v.text(1, "verdict"), v.text(2, "server")
		r, any := v.report(3, "feedback", stats)
		r.Server = eidertrail.ServerID(server)
		if any && status == "done" {
			e = r
		}
	}
	return e, v.err
}

// beyondFull is the one note that is not a cause plus 16 times a wait.
const beyondFull = 18

var statuses = map[string]eidertrail.Status{
	"done": eidertrail.Ended, "err": eidertrail.Error, "busy": eidertrail.Full,
	"etimedout": eidertrail.TimedOut, "econnrefused": eidertrail.ConnectFailed,
	"econnreset": eidertrail.Reset, "ecanceled": eidertrail.Cancelled, "skipped": eidertrail.NotSent,
}

var kinds = map[string]eidertrail.ListKind{
	"delta": eidertrail.Delta, "full": eidertrail.Snapshot, "cached": eidertrail.Cached, "failed": eidertrail.Failed,
}

var modes = map[string]eidertrail.Mode{
	"ready": eidertrail.Ready, "draining": eidertrail.Draining, "gone": eidertrail.Removed,
}

func (h *Host) census(v *row) error {
	buffer := int(v.integer(0, "buffer"))
	var lines []json.RawMessage
	v.decode(1, "lines", &lines)
	servers := make([]eidertrail.Server, 0, len(lines))
	for _, line := range lines {
		var values []json.RawMessage
		if err := json.Unmarshal(line, &values); err != nil {
			return fmt.Errorf("Census: an entry is not an array: %w", err)
		}
		entry := &row{name: "Census entry", values: values}
		s := eidertrail.Server{
			ID: eidertrail.ServerID(entry.text(0, "server")), StartedAt: time.Duration(entry.integer(1, "born")),
			Pool: int(entry.integer(4, "place_no")),
		}
		mode, known := modes[entry.text(3, "mode")]
		if entry.err != nil {
			return entry.err
		}
		if known {
			s.Mode = mode
			servers = append(servers, s)
		}
	}
	h.lists[buffer] = servers
	return v.err
}

func appendAction(b []byte, a eidertrail.Action, holdOff time.Duration) ([]byte, error) {
	var values []any
	switch a := a.(type) {
	case eidertrail.Send:
		values = []any{"HandOff", a.Call, a.Server, int64(a.Timeout)}
	case eidertrail.Reject:
		values = []any{"Reject", a.Call}
		if holdOff > 0 {
			values = append(values, int64(min(a.RetryAfter, holdOff)))
		}
	case eidertrail.Fail:
		values = []any{"Abort", a.Call}
	case eidertrail.WakeAt:
		values = []any{"WakeAt", a.Token, int64(a.In)}
	case eidertrail.Watch:
		values = []any{"Listen", true}
	default:
		return nil, fmt.Errorf("no order on this wire for %T", a)
	}
	text, err := json.Marshal(values)
	return append(b, text...), err
}

// row is an array of the wire: a name followed by values. The first value of
// the wrong type is kept as err.
type row struct {
	name   string
	values []json.RawMessage
	err    error
}

func openRow(raw json.RawMessage) (*row, error) {
	var values []json.RawMessage
	if err := json.Unmarshal(raw, &values); err != nil {
		return nil, fmt.Errorf("a message is not an array: %w", err)
	}
	if len(values) == 0 {
		return nil, fmt.Errorf("a message is an empty array")
	}
	v := &row{values: values[1:]}
	if err := json.Unmarshal(values[0], &v.name); err != nil {
		return nil, fmt.Errorf("a message does not begin with its name: %w", err)
	}
	return v, nil
}

var null = []byte("null")

// decode reads value i, unless it is absent, and tells whether it did.
func (v *row) decode(i int, field string, into any) bool {
	if i >= len(v.values) || bytes.Equal(v.values[i], null) {
		return false
	}
	if err := json.Unmarshal(v.values[i], into); err != nil {
		if v.err == nil {
			v.err = fmt.Errorf("%s: %s: %w", v.name, field, err)
		}
		return false
	}
	return true
}

// read is value i, or absent where it is absent or of the wrong type.
func read[T any](v *row, i int, field string, absent T) T {
	value := absent
	v.decode(i, field, &value)
	return value
}

func (v *row) integer(i int, field string) int64                  { return read[int64](v, i, field, 0) }
func (v *row) unsigned(i int, field string) uint64                { return read[uint64](v, i, field, 0) }
func (v *row) text(i int, field string) string                    { return read(v, i, field, "") }
func (v *row) boolean(i int, field string) bool                   { return read(v, i, field, false) }
func (v *row) number(i int, field string, absent float64) float64 { return read(v, i, field, absent) }

func (v *row) report(i int, field string, names []string) (eidertrail.Report, bool) {
	r := eidertrail.Report{Free: -1, Agents: -1}
	var values []*float64
	if !v.decode(i, field, &values) {
		return r, false
	}
	for k, p := range values {
		if p == nil || *p < 0 || k >= len(names) {
			continue
		}
		switch names[k] {
		case "idle":
			r.Free = *p
		case "circuits":
			r.Agents = *p
		}
	}
	return r, true
}
