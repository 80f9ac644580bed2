package runner

import (
	"errors"
	"net"
	"os"
	"time"

	"eidertrail/internal/handover"
	"eidertrail/internal/handover/rendezvous"
	"eidertrail/internal/listener"
)

// openFolder makes the process reachable for others. Without a folder or a socket it starts all the same.
func (r *Runner) openFolder() {
	listen := r.cfg.Listeners[0].Address
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "0" || r.cfg.Temporary == "" {
		return // no other process can have the same address, or find this one
	}
	folder, err := rendezvous.Open(r.cfg.Temporary, listen, r.log)
	if err != nil {
		r.log.Warn().Err(err).Msg("no handover: the folder cannot be used")
		return
	}
	r.folder = folder
	if err := folder.Listen(r.serveSuccessor); err != nil {
		r.log.Warn().Err(err).Msg("no handover to a later process: its socket cannot be opened")
	}
}

// find says hello to the process before this one, if there is one.
func (r *Runner) find() {
	link, err := r.hello()
	if err != nil {
		r.step(event{Event: handover.Event{Kind: handover.NoPredecessor}})
		return
	}
	r.greeted(link)
}

// greeted waits for the answer of the process that hello was sent to.
func (r *Runner) greeted(link *rendezvous.Link) {
	r.predecessor, r.timers.answerDue = link, time.Now().Add(answerTimeout)
	r.readers.Go(func() { r.readPredecessor(link) })
	r.step(event{Event: handover.Event{Kind: handover.PredecessorFound}})
}

func (r *Runner) hello() (*rendezvous.Link, error) {
	if r.folder == nil {
		return nil, rendezvous.ErrNobody
	}
	link, err := r.folder.Find()
	if err != nil {
		return nil, err
	}
	return link, link.Send(rendezvous.Message{Kind: rendezvous.Hello})
}

// readPredecessor posts what the process before this one sends.
func (r *Runner) readPredecessor(link *rendezvous.Link) {
	kinds := map[rendezvous.Kind]handover.EventKind{
		rendezvous.Wait:    handover.WaitReceived,
		rendezvous.Welcome: handover.WelcomeReceived,
		rendezvous.Yield:   handover.YieldReceived,
		rendezvous.Resumed: handover.ResumedReceived,
		rendezvous.CallEnd: noEvent,
	}
	for {
		message, files, err := link.Receive()
		if err != nil {
			link.Close()
			r.post(event{Event: handover.Event{Kind: handover.PredecessorEnded}, source: link})
			return
		}
		if message.Kind == rendezvous.CallIDs {
			r.callIDs.take(message.CallIDs) // before what comes after it
		}
		kind, known := kinds[message.Kind]
		if !known {
			closeFiles(files)
			continue // of a later version
		}
		r.post(event{
			Event:   handover.Event{Kind: kind},
			message: &message,
			sockets: r.sockets(message.Listeners, files),
			source:  link,
		})
	}
}

// noEvent stands for a message that is none of the machine's events.
const noEvent handover.EventKind = -1

// sockets are the listeners that came with a message, for the fields that this process has, too.
func (r *Runner) sockets(fields []string, files []*os.File) []passedSocket {
	var sockets []passedSocket
	for i, file := range files {
		if i >= len(fields) || r.acceptors[fields[i]] == nil {
			_ = file.Close() // not a listener of this process
			continue
		}
		passed, err := listener.FromFile(file)
		if err != nil {
			r.log.Warn().Err(err).Str("field", fields[i]).Msg("listener not taken over")
			continue
		}
		sockets = append(sockets, passedSocket{field: fields[i], listener: passed})
	}
	return sockets
}

func closeFiles(files []*os.File) {
	for _, file := range files {
		_ = file.Close() // it was not used
	}
}

// serveSuccessor posts what a process after this one sends, until its link ends.
func (r *Runner) serveSuccessor(link *rendezvous.Link) {
	defer link.Close()
	kinds := map[rendezvous.Kind]handover.EventKind{
		rendezvous.Request: handover.RequestReceived,
		rendezvous.Taken:   handover.TakenReceived,
		rendezvous.Leaving: handover.LeavingReceived,
		rendezvous.CallEnd: noEvent,
	}
	hello, files, err := link.Receive()
	closeFiles(files)
	if err != nil || hello.Kind != rendezvous.Hello {
		return
	}
	peer := handover.PeerID(r.lastPeer.Add(1))
	r.post(event{Event: handover.Event{Kind: handover.HelloReceived, Peer: peer}, link: link, message: &hello})
	for {
		message, files, err := link.Receive()
		closeFiles(files)
		if err != nil {
			r.post(event{Event: handover.Event{Kind: handover.SuccessorEnded, Peer: peer}})
			return
		}
		if message.Kind == rendezvous.CallIDs {
			r.callIDs.take(message.CallIDs)
		}
		if kind, known := kinds[message.Kind]; known {
			r.post(event{Event: handover.Event{Kind: kind, Peer: peer}, message: &message})
		}
	}
}

// sendWelcome sends the listeners. Where they cannot be passed, the successor opens its own beside them.
func (r *Runner) sendWelcome(link *rendezvous.Link) {
	if link == nil {
		return
	}
	message := rendezvous.Message{Kind: rendezvous.Welcome}
	descriptors, err := r.duplicates(&message)
	if errors.Is(err, net.ErrClosed) {
		message.Closed = true
	} else if err != nil {
		r.log.Warn().Err(err).Msg("listeners not passed on: the next process opens its own")
	}
	r.passed = len(descriptors) > 0
	err = link.Send(message, descriptors...)
	for _, descriptor := range descriptors {
		_ = os.NewFile(uintptr(descriptor), "listener").Close() // the other process has its own
	}
	if err != nil {
		r.log.Warn().Err(err).Msg("message of a handover not sent")
		return
	}
	r.callIDs.share(link)
}

// duplicates are descriptors of all listeners, whose fields are entered into the message.
func (r *Runner) duplicates(message *rendezvous.Message) ([]int, error) {
	var descriptors []int
	for _, one := range r.cfg.Listeners {
		descriptor, err := r.acceptors[one.Field].Duplicate()
		if err != nil {
			for _, opened := range descriptors {
				_ = os.NewFile(uintptr(opened), "listener").Close() // it is not sent
			}
			message.Listeners = nil
			return nil, err
		}
		descriptors = append(descriptors, descriptor)
		message.Listeners = append(message.Listeners, one.Field)
	}
	return descriptors, nil
}

func (r *Runner) announce() {
	if r.folder == nil {
		return
	}
	if err := r.folder.Announce(); err != nil {
		r.log.Warn().Err(err).Msg("no handover to a later process: its file cannot be written")
	}
}
