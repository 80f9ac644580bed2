package rendezvous

import "encoding/json"

// Version is the version of files and messages. A process does not use those of a later one.
const Version = 1

// Kind is the kind of a message.
type Kind string

// The kinds.
const (
	Hello   Kind = "hello"
	Wait    Kind = "wait"
	Welcome Kind = "welcome" // with the listeners
	Request Kind = "request"
	Yield   Kind = "yield"
	Taken   Kind = "taken"
	Leaving Kind = "leaving"
	Resumed Kind = "resumed"
	// CallEnd passes the end of a call on to the process that has callers' connections.
	CallEnd Kind = "call-end"
	// CallIDs names calls that were set up at the sender.
	CallIDs Kind = "call-ids"
)

// Message is one message between two processes.
type Message struct {
	Kind    Kind `json:"kind"`
	Version int  `json:"version"`
	Process int  `json:"process"` // the sender's id
	// Listeners are the fields whose listeners come with the message, in the order of its descriptors.
	Listeners []string `json:"listeners,omitempty"`
	// Closed: the sender stops and has closed its listeners.
	Closed bool `json:"closed,omitempty"`
	// CallID and Cause are those of a call's end.
	CallID string `json:"call_id,omitempty"`
	Cause  int    `json:"cause,omitempty"`
	// CallIDs are the ids of calls, MaxCallIDs at the most.
	CallIDs []string `json:"call_ids,omitempty"`
}

// MaxCallIDs bounds the ids of a message: ids of 16 digits, so that it fits into maxMessageBytes.
const MaxCallIDs = 256

const (
	// maxMessageBytes and maxDescriptors bound a message.
	maxMessageBytes = 8 << 10
	maxDescriptors  = 8
)

func (m *Message) encode() ([]byte, error) { return json.Marshal(m) }

func parseMessage(text []byte) (Message, error) {
	var message Message
	err := json.Unmarshal(text, &message)
	return message, err
}
