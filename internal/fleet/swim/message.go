package swim

// Kind is the kind of a Message.
type Kind uint8

// The kinds. Every message also shows that its sender is alive, and may carry Updates.
const (
	Ping    Kind = iota // requests an Ack of Seq from Target
	Ack                 // Seq is acknowledged, by Target, which need not be the sender
	PingReq             // requests an indirect probe of Target, and an Ack or a Nack of Seq
	Nack                // Target has not acknowledged the sender's probe so far
	Gossip              // Updates alone
	User                // Body is a message of another protocol between the members
	kindCount
)

// Message is one datagram.
type Message struct {
	Kind        Kind
	From        int
	Incarnation uint64 // the sender's
	Seq         uint32
	Target      int
	Updates     []Update
	Body        []byte // of a User message, at most MaxBody bytes
}

// Update is a claim about a member. From is the member that made it first: it tells the confirmations of a suspicion
// apart.
type Update struct {
	Member      int
	State       State
	Incarnation uint64
	From        int
}

// Envelope is a message to be sent, with the member to send it to.
type Envelope struct {
	To int
	Message
}
