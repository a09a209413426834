// Command cumintrestle-standin runs a stand-in as a separate process: the
// platform, an endpoint, or a relay between entry hosts.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/benbjohnson/clock"
	"github.com/integrii/flaggy"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/standin/endpoint"
	"github.com/cumintrestle/cumintrestle/internal/standin/link"
	"github.com/cumintrestle/cumintrestle/internal/standin/platform"
)

type options struct {
	listen    string
	admin     string
	zone      string
	target    string
	id        string
	password  string
	bindIP    string
	slots     int
	limit     int
	connectMS int
	bootstrap bool
}

// addresses is printed as JSON once the stand-in listens.
type addresses struct {
	Listen string `json:"listen"`
	Admin  string `json:"admin"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	o := options{listen: "127.0.0.1:0", admin: "127.0.0.1:0", slots: 2, limit: 15}
	p := flaggy.NewParser("cumintrestle-standin")
	kinds := []*flaggy.Subcommand{flaggy.NewSubcommand("platform"), flaggy.NewSubcommand("endpoint"), flaggy.NewSubcommand("relay")}
	for _, k := range kinds {
		k.String(&o.listen, "l", "listen", "IP number and port")
		k.String(&o.admin, "", "admin", "IP number and port for faults")
		k.String(&o.zone, "z", "zone", "availability zone")
		p.AttachSubcommand(k, 1)
	}
	kinds[2].String(&o.target, "t", "target", "where the relay leads")
	e := kinds[1]
	e.String(&o.id, "", "id", "member id")
	e.String(&o.password, "", "password", "password of the service users")
	e.String(&o.bindIP, "", "bind-ip", "IP number to dial from")
	e.Int(&o.slots, "", "slots", "statements run at once")
	e.Int(&o.limit, "", "limit", "connections")
	e.Int(&o.connectMS, "", "connect-ms", "time that a connection takes, in ms")
	e.Bool(&o.bootstrap, "", "bootstrap", "lead term 1")
	if err := p.Parse(); err != nil {
		return fmt.Errorf("arguments: %w", err)
	}
	switch {
	case kinds[0].Used:
		return serve(o, startPlatform)
	case kinds[1].Used:
		return serve(o, startEndpoint)
	case kinds[2].Used:
		return serve(o, startRelay)
	}
	return errors.New("no stand-in given: want platform, endpoint or relay")
}

// starter starts a stand-in on ln and returns the handler of its admin interface,
// or nil if it has none.
type starter func(o options, ln net.Listener) (http.Handler, error)

func serve(o options, start starter) error {
	raw, err := net.Listen("tcp", o.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	admin, err := net.Listen("tcp", o.admin)
	if err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	rules := link.NewRules()
	h, err := start(o, &link.Listener{Listener: raw, Zone: o.zone, Rules: rules})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/rules", rules.Handler)
	if h != nil {
		mux.Handle("/", h)
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(admin) }()
	if err := json.NewEncoder(os.Stdout).Encode(addresses{raw.Addr().String(), admin.Addr().String()}); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func startPlatform(_ options, ln net.Listener) (http.Handler, error) {
	s := platform.NewServer(clock.New())
	srv := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	return s, nil
}

func startEndpoint(o options, ln net.Listener) (http.Handler, error) {
	n := &endpoint.Node{
		ID: core.MemberID(o.id), Password: o.password, Slots: o.slots, MaxSessions: o.limit,
		ConnectDelay: time.Duration(o.connectMS) * time.Millisecond,
		Bootstrap:    o.bootstrap, BindIP: o.bindIP, Clock: clock.New(),
	}
	if err := n.Start(ln); err != nil {
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	return n.AdminHandler(), nil
}

// startRelay starts a relay whose target address can be set later, because a
// process's address is only known once it listens.
func startRelay(o options, ln net.Listener) (http.Handler, error) {
	var target atomic.Value
	target.Store(o.target)
	go link.Relay(ln, func() string { return target.Load().(string) })
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/target", func(w http.ResponseWriter, r *http.Request) {
		var address string
		if err := json.NewDecoder(r.Body).Decode(&address); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		target.Store(address)
	})
	return mux, nil
}
