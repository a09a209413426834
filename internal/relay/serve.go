package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/cumintrestle/cumintrestle/internal/guard"
	"github.com/cumintrestle/cumintrestle/internal/revision"
)

const (
	// heartbeatInterval is how often a host sends its state to its subscribers.
	heartbeatInterval = time.Second
	// helloTimeout is how long a new subscriber may take to send its first message.
	helloTimeout = time.Second
	// writeTimeout is how long writing one message to a subscriber may take.
	writeTimeout = 2 * time.Second
	// maxQueue is the maximum number of messages queued for a subscriber. One that
	// falls further behind is disconnected.
	maxQueue = 256
	// maxMessage is the maximum size of a message, in bytes. It has to hold a whole
	// table.
	maxMessage = 16 << 20
	// compressThreshold is the total size of an update's values, in bytes, from which
	// the update is compressed.
	compressThreshold = 1 << 10
)

// Path is where a host serves its feed. It ends with the version of the messages: hosts
// of releases with other messages don't subscribe to each other, but follow the store.
const Path = "/feed/2"

// hello is the first message of a subscriber: the revisions of the tables it has.
type hello struct {
	_         struct{} `cbor:",toarray"`
	Revisions map[Table]revision.Revision
}

// message is an update, plain or compressed, or else a heartbeat with the sender's
// state.
type message struct {
	_      struct{} `cbor:",toarray"`
	Update *Update
	// Packed is a large update, encoded and compressed with DEFLATE.
	Packed []byte
	// Current and Lost are the sender's state: Current means that it has all tables and
	// the store answers it, Lost that it follows the store and a call failed.
	Current, Lost bool
}

// subscriber is a host that receives the updates of this one.
type subscriber struct {
	queue chan []byte
	// close disconnects the subscriber.
	close context.CancelFunc
	// reserved is the size of the tables that it was sent first and has not read yet.
	reserved int
}

// ServeHTTP serves one subscriber until its link breaks.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	hi, err := readHello(ws)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &subscriber{queue: make(chan []byte, maxQueue), close: cancel}
	defer f.release(s)
	if f.subscribe(s, hi) != nil {
		return
	}
	defer f.unsubscribe(s)
	go guard.Run("link of a feed subscriber", nil, func() {
		// A subscriber sends nothing more; Read returns when the link ends.
		defer cancel()
		_, _, _ = ws.Read(ctx)
	})
	f.write(ctx, ws, s)
}

func readHello(ws *websocket.Conn) (hello, error) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	var hi hello
	_, body, err := ws.Read(ctx)
	if err != nil {
		return hi, err
	}
	return hi, decode(body, &hi)
}

// subscribe queues the updates that a new subscriber lacks and adds it to the
// subscribers.
func (f *Feed) subscribe(s *subscriber, hi hello) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	heartbeat := encode(f.state())
	// The first heartbeat tells whether the rows that follow are current, the last one
	// that all of them have been sent.
	s.send(heartbeat)
	for _, name := range f.Tables {
		if u, ok := f.updateSince(name, hi.Revisions[name]); ok {
			body := encode(pack(u))
			if f.Reserve != nil {
				if err := f.Reserve(len(body)); err != nil {
					return fmt.Errorf("feed subscriber: %w", err)
				}
				s.reserved += len(body)
			}
			s.send(body)
		}
	}
	s.send(heartbeat)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.subscribers == nil {
		f.subscribers = make(map[*subscriber]struct{})
	}
	f.subscribers[s] = struct{}{}
	return nil
}

// release ends the charge of what a subscriber was sent first.
func (f *Feed) release(s *subscriber) {
	if s.reserved > 0 {
		f.Release(s.reserved)
		s.reserved = 0
	}
}

func (f *Feed) unsubscribe(s *subscriber) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.subscribers, s)
}

// write sends the queued messages, and a heartbeat at each heartbeatInterval.
func (f *Feed) write(ctx context.Context, ws *websocket.Conn, s *subscriber) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		var body []byte
		select {
		case <-ctx.Done():
			return
		case body = <-s.queue:
		case <-t.C:
			body = encode(f.state())
		}
		limit, cancel := context.WithTimeout(ctx, writeTimeout)
		err := ws.Write(limit, websocket.MessageBinary, body)
		cancel()
		if err != nil {
			return
		}
		if len(s.queue) == 0 {
			f.release(s)
		}
	}
}

// Subscribers returns the number of subscribers.
func (f *Feed) Subscribers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.subscribers)
}

// broadcastUpdate queues an update for all subscribers.
func (f *Feed) broadcastUpdate(u Update) {
	f.broadcast(pack(u))
}

// broadcastState queues a heartbeat with this host's state for all subscribers.
func (f *Feed) broadcastState() { f.broadcast(f.state()) }

// state returns a heartbeat with this host's state.
func (f *Feed) state() message { return message{Current: f.current(), Lost: f.StoreLost()} }

func (f *Feed) broadcast(m message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.subscribers) == 0 {
		return
	}
	body := encode(m)
	for s := range f.subscribers {
		s.send(body)
	}
}

// send queues a message. A subscriber whose queue is full is disconnected; it gets what
// it missed when it subscribes again.
func (s *subscriber) send(body []byte) {
	select {
	case s.queue <- body:
	default:
		s.close()
	}
}

// encode encodes a message. It panics on an error, which cannot occur for the types of
// this package.
func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic("relay: message cannot be encoded: " + err.Error())
	}
	return body
}

// pack returns the message for an update and compresses large ones: the configuration of
// a fleet takes some hundred KiB and is sent to every host.
func pack(u Update) message {
	size := 0
	for _, r := range u.Rows {
		size += len(r.Value)
	}
	if size < compressThreshold {
		return message{Update: &u}
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(encode(u))
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// Writing to memory does not fail. If it did, the plain update would do.
		return message{Update: &u}
	}
	return message{Packed: b.Bytes()}
}

// unpack returns the update of a message, or nil for a heartbeat.
func (m message) unpack() (*Update, error) {
	if m.Packed == nil {
		return m.Update, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxMessage))
	if err != nil {
		return nil, fmt.Errorf("decompress feed message: %w", err)
	}
	var u Update
	return &u, decode(body, &u)
}

func decode(body []byte, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode feed message: %w", err)
	}
	return nil
}
