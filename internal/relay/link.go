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
)

const (
	// openTimeout bounds the set-up of a link.
	openTimeout = 500 * time.Millisecond
	// silence is how long a link may carry nothing: two beats and some delay.
	silence = 2*beatEvery + 300*time.Millisecond
	// retryFirst and retryLast bound the pause after all relays failed.
	retryFirst = 100 * time.Millisecond
	retryLast  = 2 * time.Second
	// findTime is how long a host that is asked may take to find the store, and to
	// tell what it knows.
	findTime = 700 * time.Millisecond
	// avoidFor is how long a host that has lost the store is asked last.
	avoidFor = 3 * time.Second
	// grace is how long a host without a link looks for another one before it follows
	// the store itself.
	grace = time.Second
	// idleCheck is how often a host that needs no link looks whether it does.
	idleCheck = 500 * time.Millisecond
)

var (
	errMoved = errors.New("another host is to be heard")
	errLost  = errors.New("the host has lost the store")
)

// Link lets a host's feed hear from another host. Exported fields are set before
// Run.
type Link struct {
	Feed *Feed
	// Relays lists the hosts to hear from, the first choice first, and tells how many
	// of them are meant to be heard; the rest replaces them. It is empty where this
	// host follows the store itself.
	Relays      func() (addresses []string, first int)
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Down and Up are told of hosts that could not be reached, and that could.
	Down, Up func(address string)
	// Event reports a link that stands, with a nil error, or that ended.
	Event func(address string, err error)

	// avoided are the hosts that had lost the store, and until when they are left
	// alone. It is used by Run alone.
	avoided map[string]time.Time

	current atomic.Bool
	// endedAt is when the link was current last, in Unix ns, 0 before that.
	endedAt atomic.Int64
}

// Current reports whether another host tells this one of each change, or did so a
// moment ago.
func (l *Link) Current() bool {
	return l.current.Load() || time.Since(time.Unix(0, l.endedAt.Load())) < grace
}

// Expect counts the link as current for the time that it takes to find one.
func (l *Link) Expect() { l.endedAt.Store(time.Now().UnixNano()) }

// Run keeps a link until the context ends.
func (l *Link) Run(ctx context.Context) {
	wait := retryFirst
	for ctx.Err() == nil {
		relays, _ := l.choices()
		if len(relays) == 0 {
			pause.For(ctx, idleCheck)
			continue
		}
		for _, address := range relays {
			if l.hear(ctx, address) {
				wait = retryFirst
				break
			}
			if ctx.Err() != nil {
				return
			}
		}
		pause.For(ctx, wait)
		wait = min(2*wait, retryLast)
	}
}

// avoid leaves a host that has lost the store alone for a while.
func (l *Link) avoid(address string) {
	if l.avoided == nil {
		l.avoided = make(map[string]time.Time)
	}
	l.avoided[address] = time.Now().Add(avoidFor)
}

// choices returns the hosts to hear from, those that are avoided last, and which of
// them are meant to be heard.
func (l *Link) choices() (all, first []string) {
	relays, n := l.Relays()
	var last []string
	now := time.Now()
	for i, address := range relays {
		switch {
		case now.Before(l.avoided[address]):
			last = append(last, address)
			continue
		case i < n:
			first = append(first, address)
		}
		all = append(all, address)
	}
	return append(all, last...), first
}

// hear takes what one host tells until the link ends. It reports whether that
// host was current at all.
func (l *Link) hear(ctx context.Context, address string) bool {
	ws, err := l.open(ctx, address)
	if err != nil {
		l.Down(address)
		l.Event(address, err)
		return false
	}
	defer ws.CloseNow()
	l.Up(address)
	was, err := l.read(ctx, ws, address)
	l.set(false)
	l.Event(address, err)
	return was
}

func (l *Link) open(ctx context.Context, address string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+"/feed", &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: l.DialContext}},
	})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("feed of %s: %w", address, err)
	}
	ws.SetReadLimit(maxMessage)
	hi := hello{Versions: make(map[Table]Version)}
	for _, name := range l.Feed.Tables {
		hi.Versions[name] = l.Feed.Version(name)
	}
	if err := ws.Write(ctx, websocket.MessageBinary, encode(hi)); err != nil {
		ws.CloseNow()
		return nil, fmt.Errorf("feed of %s: %w", address, err)
	}
	return ws, nil
}

// read takes messages until the link is silent, the other host is without the
// store, or this one is to hear from another.
func (l *Link) read(ctx context.Context, ws *websocket.Conn, address string) (was bool, err error) {
	began := time.Now()
	// held is what the other host told while it was not current. It may tell of
	// servers that have left, which is better than nothing only for a host that does
	// not reach the store itself.
	var held []Update
	for {
		m, err := next(ctx, ws)
		if err != nil {
			return was, fmt.Errorf("feed of %s: %w", address, err)
		}
		u, err := m.unpack()
		if err != nil {
			return was, fmt.Errorf("feed of %s: %w", address, err)
		}
		if u != nil {
			held = append(held, *u)
		}
		if was || m.Current || l.Feed.Lost() {
			for _, u := range held {
				l.Feed.Take(u)
			}
			held = nil
		}
		if u != nil {
			continue
		}
		current := m.Current && l.Feed.Known()
		if l.set(current) && current {
			was = true
			l.Event(address, nil)
		}
		lost := m.Lost && !l.Feed.Lost()
		if !current && (was || lost || time.Since(began) >= findTime) {
			l.avoid(address)
			return was, errLost
		}
		if _, first := l.choices(); current && len(first) > 0 && !slices.Contains(first, address) {
			return was, errMoved
		}
	}
}

// set notes whether the link is current and reports whether that is a change.
func (l *Link) set(current bool) bool {
	was := l.current.Swap(current)
	if was && !current {
		l.endedAt.Store(time.Now().UnixNano())
	}
	return was != current
}

func next(ctx context.Context, ws *websocket.Conn) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	var m message
	_, body, err := ws.Read(ctx)
	if err != nil {
		return m, err
	}
	return m, decode(body, &m)
}
