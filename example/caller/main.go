// Command caller makes one call through eidertrail, over JSON lines or, with -ws, over WebSocket, and prints what comes
// back until the call has ended.
package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"log"
	"net"
	"strings"
	"time"

	"github.com/coder/websocket"
)

// description is the caller's session description (RFC 8866), each line ended by CRLF.
const description = "v=0\r\n" +
	"o=caller 1 1 IN IP4 127.0.0.1\r\n" +
	"s=-\r\n" +
	"c=IN IP4 127.0.0.1\r\n" +
	"t=0 0\r\n" +
	"m=audio 49170 RTP/AVP 0\r\n"

// defaultTimeout is how long the caller waits for the answer.
const defaultTimeout = 5 * time.Second

// call is the one call that is made.
type call struct {
	id      string
	class   string
	timeout time.Duration
}

func main() {
	address := flag.String("address", "127.0.0.1:5060", "eidertrail's listener")
	url := flag.String("ws", "", "URL of the WebSocket front, such as ws://127.0.0.1:5070/call-control?site=toy")
	class := flag.String("class", "avail-read", "class of the call")
	timeout := flag.Duration("left", defaultTimeout, "how long the caller waits for the answer")
	flag.Parse()
	made := call{id: randomID(), class: *class, timeout: *timeout}
	var err error
	if *url != "" {
		err = made.dialWebSocket(context.Background(), *url)
	} else {
		err = made.dialJSONLines(context.Background(), *address)
	}
	if err != nil {
		log.Fatal(err)
	}
}

func randomID() string {
	var id [8]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// dialWebSocket makes the call over the WebSocket front at that URL.
func (c call) dialWebSocket(ctx context.Context, url string) error {
	connection, _, err := websocket.Dial(ctx, url, nil)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(websocket.StatusNormalClosure, "") }()
	setup := fmt.Sprintf(`{"type":"setup","id":%q,"class":%q,"number":"7f3a","pool":0,"left_ms":%d,"sdp":%q}`,
		c.id, c.class, c.timeout.Milliseconds(), description)
	fmt.Println(">", setup)
	if err := connection.Write(ctx, websocket.MessageText, []byte(setup)); err != nil {
		return err
	}
	for {
		_, text, err := connection.Read(ctx)
		if err != nil {
			return err
		}
		if c.printAndCheckEnd(string(text)) {
			return nil
		}
	}
}

// dialJSONLines makes the call over JSON lines at that address. It returns when the call or the connection ends.
func (c call) dialJSONLines(ctx context.Context, address string) error {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer connection.Close()
	const format = `{"type":"setup","id":%q,"fields":{"class":%q,"left":"%d","key":"7f3a","extras":"dest:0"},"sdp":%q}`
	setup := fmt.Sprintf(format, c.id, c.class, c.timeout.Milliseconds(), description)
	fmt.Println(">", setup)
	_, _ = fmt.Fprintln(connection, setup) // where it fails, the connection ends below
	for lines := bufio.NewScanner(connection); lines.Scan(); {
		if c.printAndCheckEnd(lines.Text()) {
			break
		}
	}
	return nil
}

// printAndCheckEnd prints a message that was received, and reports whether it ends this call. The ends of other calls
// come on any connection of callers.
func (c call) printAndCheckEnd(message string) (ended bool) {
	fmt.Println("<", message)
	if !strings.Contains(message, c.id) {
		return false
	}
	for _, last := range []string{`"type":"release`, `"type":"refused"`, `"type":"failed"`, `"type":"error"`} {
		if strings.Contains(message, last) {
			return true
		}
	}
	return false
}
