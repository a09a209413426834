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
)

const (
	// beatEvery is how often a host tells those who hear from it that it lives
	// and follows the store.
	beatEvery = time.Second
	// helloTimeout bounds the first message of a link.
	helloTimeout = time.Second
	// writeTimeout bounds one message to a host that does not read.
	writeTimeout = 2 * time.Second
	// maxQueue is how many messages wait for a slow host; it has to connect anew
	// when there are more.
	maxQueue = 256
	// maxMessage bounds a message, in bytes: a table whole.
	maxMessage = 16 << 20
	// packFrom is the size of the values, in bytes, from which an update is deflated.
	packFrom = 1 << 10
)

// hello opens a link: what the hearing host knows already.
type hello struct {
	_        struct{} `cbor:",toarray"`
	Versions map[Table]Version
}

// message is an update, plain or packed, or else a sign of life.
type message struct {
	_      struct{} `cbor:",toarray"`
	Update *Update
	// Packed is a large update, encoded and deflated.
	Packed []byte
	// Current tells whether the sender follows the store, and Lost that it tries to and
	// gets no answer.
	Current, Lost bool
}

// hearer is a host that hears from this one.
type hearer struct {
	queue chan []byte
	close context.CancelFunc
}

// ServeHTTP serves one hearing host until its link breaks.
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
	h := &hearer{queue: make(chan []byte, maxQueue), close: cancel}
	f.greet(h, hi)
	defer f.forsake(h)
	go guard.Run("link of a hearing host", nil, func() {
		// Nothing more is read, but the end of the link is noticed.
		defer cancel()
		_, _, _ = ws.Read(ctx)
	})
	f.write(ctx, ws, h)
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

// greet queues what a new hearer lacks and adds it to those who hear.
func (f *Feed) greet(h *hearer, hi hello) {
	f.taking.Lock()
	defer f.taking.Unlock()
	beat := encode(f.state())
	// The first one tells what the rows are worth, the last one that they are whole.
	h.send(beat)
	for _, name := range f.Tables {
		if u, ok := f.since(name, hi.Versions[name]); ok {
			h.send(encode(pack(u)))
		}
	}
	h.send(beat)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard == nil {
		f.heard = make(map[*hearer]struct{})
	}
	f.heard[h] = struct{}{}
}

func (f *Feed) forsake(h *hearer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.heard, h)
}

// write sends what is queued, and a beat where nothing is.
func (f *Feed) write(ctx context.Context, ws *websocket.Conn, h *hearer) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		var body []byte
		select {
		case <-ctx.Done():
			return
		case body = <-h.queue:
		case <-t.C:
			body = encode(f.state())
		}
		limit, cancel := context.WithTimeout(ctx, writeTimeout)
		err := ws.Write(limit, websocket.MessageBinary, body)
		cancel()
		if err != nil {
			return
		}
	}
}

// Hearers counts the hosts that hear from this one.
func (f *Feed) Hearers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heard)
}

// tell queues an update for all hearers.
func (f *Feed) tell(u Update) {
	f.broadcast(pack(u))
}

// beat tells all hearers whether this host follows the store.
func (f *Feed) beat() { f.broadcast(f.state()) }

// state is the message that tells how this host follows the store.
func (f *Feed) state() message { return message{Current: f.current(), Lost: f.Lost()} }

func (f *Feed) broadcast(m message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.heard) == 0 {
		return
	}
	body := encode(m)
	for h := range f.heard {
		h.send(body)
	}
}

// send queues a message; a hearer that is too slow has to start over.
func (h *hearer) send(body []byte) {
	select {
	case h.queue <- body:
	default:
		h.close()
	}
}

// encode cannot fail for the types of this package.
func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic("relay: message cannot be encoded: " + err.Error())
	}
	return body
}

// pack returns the message for an update. Large ones are deflated: the configuration of
// a fleet is some hundred KiB, and goes to every host.
func pack(u Update) message {
	size := 0
	for _, r := range u.Rows {
		size += len(r.Value)
	}
	if size < packFrom {
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
		// Nothing that writes to memory fails; the plain update serves as well.
		return message{Update: &u}
	}
	return message{Packed: b.Bytes()}
}

// unpack returns the update of a message, or nil.
func (m message) unpack() (*Update, error) {
	if m.Packed == nil {
		return m.Update, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxMessage))
	if err != nil {
		return nil, fmt.Errorf("message of another host: %w", err)
	}
	var u Update
	return &u, decode(body, &u)
}

func decode(body []byte, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("message of another host: %w", err)
	}
	return nil
}
