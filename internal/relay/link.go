package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/cumintrestle/cumintrestle/internal/pause"
	"github.com/cumintrestle/cumintrestle/internal/revision"
)

const (
	// setupTimeout is how long opening a link may take, up to the first message sent.
	setupTimeout = 500 * time.Millisecond
	// silenceTimeout is how long a link may carry no message: two heartbeats and some
	// delay.
	silenceTimeout = 2*heartbeatInterval + 300*time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff between attempts to get a
	// current link.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// syncTimeout is how long after a link is opened the relay may take to reach the
	// store and send all tables. A spare relay follows the store only once it has a
	// subscriber.
	syncTimeout = 700 * time.Millisecond
	// avoidDuration is how long a relay that was not current is tried last.
	avoidDuration = 3 * time.Second
	// relinkGrace is how long a link still counts as current after it ended. In this
	// time the host looks for another relay before it follows the store itself.
	relinkGrace = time.Second
	// idleCheckInterval is how often a host without relays checks whether it has any.
	idleCheckInterval = 500 * time.Millisecond
)

var (
	errPreferredRelay  = errors.New("a preferred relay is available")
	errRelayNotCurrent = errors.New("relay is not current with the store")
	// errOtherProtocol reports a host of a release whose messages differ.
	errOtherProtocol = errors.New("relay does not serve " + Path)
)

// Link subscribes a host's feed to that of another host, its relay. The exported
// fields must be set before Run.
type Link struct {
	Feed *Feed
	// Relays returns the hosts to subscribe to, in order of preference. The first
	// preferred of them are the regular relays, the rest are spares. The list is empty
	// if this host is to follow the store itself.
	Relays      func() (addresses []string, preferred int)
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDown is called for a host to which no link could be opened, OnUp for one to which
	// it could.
	OnDown, OnUp func(address string)
	// OnEvent is called with a nil error when a link becomes current, and with the cause
	// when a link could not be opened or ended.
	OnEvent func(address string, err error)
	// OnCurrent is called when a link becomes current, with the time at which it was opened. It may
	// be nil.
	OnCurrent func(opened time.Time)

	// avoidedUntil holds the relays that were not current, and until when they are tried
	// last. Only the goroutine of Run uses it.
	avoidedUntil map[string]time.Time

	// current is set while the relay is current and this host has all tables.
	current atomic.Bool
	// lastCurrent is when the link was last current, in Unix ns, 0 if never.
	lastCurrent atomic.Int64
	// cancel closes the link, nil if there is none.
	cancel atomic.Pointer[context.CancelFunc]
}

// Current reports whether another host sends this one each change of the store, or did
// so less than relinkGrace ago.
func (l *Link) Current() bool {
	if l.current.Load() {
		return true
	}
	// The time since is negative after the clock was set back.
	ended := time.Since(time.Unix(0, l.lastCurrent.Load()))
	return ended >= 0 && ended < relinkGrace
}

// Reset closes the link, so that another one is opened: messages that wait to be read may be old.
func (l *Link) Reset() {
	if cancel := l.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// StartGrace makes the link count as current for the next relinkGrace, so that there is time
// to open one.
func (l *Link) StartGrace() { l.lastCurrent.Store(time.Now().UnixNano()) }

// Run keeps the feed subscribed to one of the relays until the context ends.
func (l *Link) Run(ctx context.Context) {
	wait := minRetryDelay
	for ctx.Err() == nil {
		relays, _ := l.candidates()
		if len(relays) == 0 {
			pause.For(ctx, idleCheckInterval)
			continue
		}
		for _, address := range relays {
			if l.followRelay(ctx, address) {
				wait = minRetryDelay
				break
			}
			if ctx.Err() != nil {
				return
			}
		}
		pause.For(ctx, wait)
		wait = min(2*wait, maxRetryDelay)
	}
}

// avoid makes a relay that was not current the last choice for avoidDuration.
func (l *Link) avoid(address string) {
	if l.avoidedUntil == nil {
		l.avoidedUntil = make(map[string]time.Time)
	}
	l.avoidedUntil[address] = time.Now().Add(avoidDuration)
}

// candidates returns the hosts to subscribe to, with the avoided ones last, and the
// preferred ones among those that are not avoided.
func (l *Link) candidates() (all, preferred []string) {
	relays, n := l.Relays()
	var last []string
	now := time.Now()
	for i, address := range relays {
		switch {
		case now.Before(l.avoidedUntil[address]):
			last = append(last, address)
			continue
		case i < n:
			preferred = append(preferred, address)
		}
		all = append(all, address)
	}
	return append(all, last...), preferred
}

// followRelay subscribes to one host until the link ends. It reports whether that host
// was current at any time.
func (l *Link) followRelay(ctx context.Context, address string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.cancel.Store(&cancel)
	ws, err := l.dial(ctx, address)
	if err != nil {
		if errors.Is(err, errOtherProtocol) {
			l.avoid(address)
		} else {
			l.OnDown(address)
		}
		l.OnEvent(address, err)
		return false
	}
	defer ws.CloseNow()
	l.OnUp(address)
	wasCurrent, err := l.read(ctx, ws, address)
	l.setCurrent(false)
	l.OnEvent(address, err)
	return wasCurrent
}

// dial opens a link and sends the revisions of this host's tables.
func (l *Link) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: l.DialContext}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		if resp != nil && resp.StatusCode == http.StatusNotFound {
			err = errOtherProtocol
		}
		return nil, fmt.Errorf("feed of %s: %w", address, err)
	}
	ws.SetReadLimit(maxMessage)
	hi := hello{Revisions: make(map[Table]revision.Revision)}
	for _, name := range l.Feed.Tables {
		hi.Revisions[name] = l.Feed.Revision(name)
	}
	if err := ws.Write(ctx, websocket.MessageBinary, encode(hi)); err != nil {
		ws.CloseNow()
		return nil, fmt.Errorf("feed of %s: %w", address, err)
	}
	return ws, nil
}

// read applies the messages of a relay until the link ends or is silent, the relay is
// not current, or the relay is a spare and a preferred one is available. It reports
// whether the relay was current at any time.
func (l *Link) read(ctx context.Context, ws *websocket.Conn, address string) (wasCurrent bool, err error) {
	began := time.Now()
	// pending holds the updates received while the relay was not current. They may be
	// outdated and list servers that have left, so they are applied only once the relay
	// is current, or if this host cannot reach the store itself.
	var pending []Update
	for {
		m, err := readMessage(ctx, ws)
		if err != nil {
			return wasCurrent, fmt.Errorf("feed of %s: %w", address, err)
		}
		u, err := m.unpack()
		if err != nil {
			return wasCurrent, fmt.Errorf("feed of %s: %w", address, err)
		}
		if u != nil {
			pending = append(pending, *u)
		}
		if wasCurrent || m.Current || l.Feed.StoreLost() {
			for _, u := range pending {
				l.Feed.Apply(u)
			}
			pending = nil
		}
		if u != nil {
			continue
		}
		current := m.Current && l.Feed.Complete()
		if l.setCurrent(current) && current {
			wasCurrent = true
			l.noteCurrent(address, began)
		}
		lost := m.Lost && !l.Feed.StoreLost()
		if !current && (wasCurrent || lost || time.Since(began) >= syncTimeout) {
			l.avoid(address)
			return wasCurrent, errRelayNotCurrent
		}
		if _, preferred := l.candidates(); current && len(preferred) > 0 && !slices.Contains(preferred, address) {
			return wasCurrent, errPreferredRelay
		}
	}
}

// noteCurrent reports a link that has become current.
func (l *Link) noteCurrent(address string, opened time.Time) {
	l.OnEvent(address, nil)
	if l.OnCurrent != nil {
		l.OnCurrent(opened)
	}
}

// setCurrent records whether the link is current and reports whether that changed.
func (l *Link) setCurrent(current bool) bool {
	old := l.current.Swap(current)
	if old && !current {
		l.lastCurrent.Store(time.Now().UnixNano())
	}
	return old != current
}

// readMessage returns the next message. It fails if none arrives for silenceTimeout.
func readMessage(ctx context.Context, ws *websocket.Conn) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	var m message
	_, body, err := ws.Read(ctx)
	if err != nil {
		return m, err
	}
	return m, decode(body, &m)
}
