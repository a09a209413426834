package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cumintrestle/cumintrestle/pkg/result"
)

const (
	controlUser    = "cumintrestle_control"
	serviceUser    = "cumintrestle"
	connectTimeout = 3 * time.Second
)

// textParams are what texts depend on. Callers are told these values, and the host's own
// statements need them, whatever the database's defaults are.
var textParams = map[string]string{"client_encoding": "UTF8", "standard_conforming_strings": "on"}

// Dialer opens connections to endpoints on behalf of one entry host.
type Dialer struct {
	// Host identifies this run of the entry host to the endpoint.
	Host     string
	Password string
	// BindIP is the local IP address to dial from; empty for any.
	BindIP string
}

func (d Dialer) connect(ctx context.Context, user, address, database string) (*pgconn.PgConn, error) {
	return d.connectThrough(ctx, user, address, database, nil)
}

// connectThrough opens a connection whose reader is passed through wrap, if that is not nil.
func (d Dialer) connectThrough(ctx context.Context, user, address, database string, wrap func(io.Reader) io.Reader) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	cfg, err := pgconn.ParseConfig("postgres://" + user + "@" + address + "/?sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("endpoint address %s: %w", address, err)
	}
	cfg.Database = database
	cfg.Password = d.Password
	cfg.RuntimeParams["application_name"] = d.Host
	maps.Copy(cfg.RuntimeParams, textParams)
	cfg.DialFunc = d.DialContext
	if wrap != nil {
		cfg.BuildFrontend = func(r io.Reader, w io.Writer) *pgproto3.Frontend { return pgproto3.NewFrontend(wrap(r), w) }
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, connectError(err)
	}
	return conn, nil
}

// DialContext opens a plain connection from BindIP.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var nd net.Dialer
	if d.BindIP != "" {
		nd.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.BindIP)}
	}
	conn, err := nd.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

// connectError returns a failure to connect as EndpointRefused. The endpoint
// has run nothing.
func connectError(err error) error {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return result.New(result.EndpointRefused, "endpoint: %s (%s)", strings.TrimSpace(pe.Message), pe.Code)
	}
	return result.New(result.EndpointRefused, "endpoint: %w", err)
}
