package jsonlines

import (
	"strings"
	"testing"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/testing/fakeplatform"
)

// FuzzConnection checks random steps on two connections against a model: at most one final answer for each set-up, none
// after a cancel, and a release only of an established call.
func FuzzConnection(f *testing.F) {
	seeds := []string{"00010100", "000002010300", "010001100500", "0004020006", "040100020005", "03000100010104"}
	fakeplatform.FuzzScripts(f, seeds, func(t *testing.T, script []byte) {
		t.Helper()
		runRig(t, func(r *rig) {
			m := &callModel{
				rig:       r,
				conns:     [2]*client{r.dial(), r.dial()},
				finals:    map[string]int{},
				setups:    map[string]bool{},
				cancelled: map[string]bool{},
			}
			fakeplatform.RunScript(script, m.steps(), func() { m.check(t) })
		})
	})
}

// callModel is what the callers of two connections have sent, and the final answers that they got. The byte of a step
// chooses the connection by its lowest bit, and the call by the next two.
type callModel struct {
	*rig
	conns     [2]*client
	finals    map[string]int
	setups    map[string]bool
	cancelled map[string]bool
}

func (m *callModel) conn(b byte) *client { return m.conns[b%2] }

func (m *callModel) id(b byte) string { return "00000000000000c" + string('0'+b>>1%4) }

// isOpen reports whether the connection has not ended, as far as the client has read.
func (m *callModel) isOpen(b byte) bool {
	c := m.conn(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

func (m *callModel) steps() []func(byte) {
	return []func(byte){
		m.setUp,
		m.release,
		func(b byte) {
			m.inviter.setOutcome([]dispatch.Outcome{dispatch.Answered, dispatch.NoAgent, dispatch.TimedOut}[b%3])
		},
		func(b byte) {
			m.conn(b).Close()
			m.conns[b%2] = m.dial()
		},
		func(b byte) { time.Sleep(time.Duration(b) * 20 * time.Millisecond) },
		func(b byte) { m.conn(b).say(string(rune(b)) + `{"type":"setup","id":"` + m.id(b) + `"`) },
	}
}

func (m *callModel) setUp(b byte) {
	id := m.id(b)
	if !m.isOpen(b) || m.setups[id] {
		return
	}
	m.setups[id] = true
	m.conn(b).say(strings.Replace(setup, callID, id, 1))
}

func (m *callModel) release(b byte) {
	id := m.id(b)
	if !m.isOpen(b) {
		return
	}
	m.conn(b).say(`{"type":"release","id":"` + id + `","cause":16}`)
	m.cancelled[id] = m.setups[id] && m.finals[id] == 0
}

// check checks what has come in since the last step.
func (m *callModel) check(t *testing.T) {
	t.Helper()
	for _, c := range m.conns {
		lines, _ := c.take()
		for _, text := range lines {
			m.checkLine(t, text)
		}
	}
}

func (m *callModel) checkLine(t *testing.T, text string) {
	t.Helper()
	message, err := linecodec.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if message.Type != linecodec.TypeAnswer && message.Type != linecodec.TypeRelease {
		return
	}
	id := message.ID
	m.finals[id]++
	if m.finals[id] > 1 || !m.setups[id] || m.cancelled[id] {
		t.Fatalf("%d finals, set up %v, cancelled %v: %s", m.finals[id], m.setups[id], m.cancelled[id], text)
	}
}
