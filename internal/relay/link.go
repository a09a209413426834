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
)

const (
	// openTimeout bounds the set-up of a link.
	openTimeout = 500 * time.Millisecond
	// silence is how long a link may carry nothing: two beats and some delay.
	silence = 2*beatEvery + 300*time.Millisecond
	// retryFirst and retryLast bound the pause after all relays failed.
	retryFirst = 100 * time.Millisecond
	retryLast  = 2 * time.Second
	// lostFor is how long a relay may be without the store before another one is
	// tried.
	lostFor = 700 * time.Millisecond
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
	pause := retryFirst
	for ctx.Err() == nil {
		relays, _ := l.Relays()
		if len(relays) == 0 {
			rest(ctx, idleCheck)
			continue
		}
		for _, address := range relays {
			if l.hear(ctx, address) {
				pause = retryFirst
				break
			}
			if ctx.Err() != nil {
				return
			}
		}
		rest(ctx, pause)
		pause = min(2*pause, retryLast)
	}
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
// store for too long, or this one is to hear from another.
func (l *Link) read(ctx context.Context, ws *websocket.Conn, address string) (was bool, err error) {
	var lostAt time.Time
	worthy := false
	for {
		m, err := next(ctx, ws)
		if err != nil {
			return was, fmt.Errorf("feed of %s: %w", address, err)
		}
		if !worthy && !m.Current && !l.Feed.Lost() {
			// A host that has lost the store may tell of servers that have left since. It
			// is better than nothing only where this one does not reach the store either.
			return was, errLost
		}
		worthy = true
		if m.Update != nil {
			l.Feed.Take(*m.Update)
			continue
		}
		current := m.Current && l.Feed.Known()
		if l.set(current) && current {
			was = true
			l.Event(address, nil)
		}
		switch {
		case current:
			lostAt = time.Time{}
		case lostAt.IsZero():
			lostAt = time.Now()
		case time.Since(lostAt) >= lostFor:
			return was, errLost
		}
		relays, first := l.Relays()
		if current && !slices.Contains(relays[:min(first, len(relays))], address) {
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

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
