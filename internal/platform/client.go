// Package platform is an HTTP and JSON client of the platform's table service,
// object store and host list.
//
// # Usage
//
//	c := &platform.Client{URL: "http://10.0.0.1:8080"}
//	c.Init()
//	rev, err := c.Commit(ctx, []platform.Write{{Key: "account/x", Expect: 3, Value: v}})
//	rows, rev, err := c.Changes(ctx, "account/", rev, 20*time.Second)
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/revision"
)

const maxResponseBytes = 64 << 20

// ErrOutcomeUnknown is returned when a call failed without a usable response:
// the platform may or may not have carried it out.
var ErrOutcomeUnknown = errors.New("outcome of the platform call is unknown")

// Revision is a state of the table service: its era and commit number as packed by
// revision.Revision, so that a later one is greater even if the service has come back from
// a copy since. The service itself counts commits only.
type Revision uint64

// SameEra reports whether two revisions are of one era of the service.
func (r Revision) SameEra(o Revision) bool {
	return revision.Unpack(uint64(r)).Era == revision.Unpack(uint64(o)).Era
}

// errOtherEra reports that the service does not have the requested revision, because it
// has come back from a copy.
var errOtherEra = errors.New("the table service has come back from a copy")

// Version is a row's version number. It is 0 for a row that does not exist.
type Version uint64

// Row is a versioned row of the table service. Deleted marks the tombstone of a
// deleted row.
type Row struct {
	Key      string   `json:"key" cbor:"1,keyasint"`
	Version  Version  `json:"version" cbor:"2,keyasint"`
	Revision Revision `json:"revision" cbor:"3,keyasint"`
	Value    []byte   `json:"value,omitempty" cbor:"4,keyasint,omitempty"`
	Deleted  bool     `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
}

// Write is one row of a commit. The commit fails unless the row's current
// version is Expect; 0 requires that the row does not exist.
type Write struct {
	Key    string  `json:"key"`
	Expect Version `json:"expect"`
	Value  []byte  `json:"value,omitempty"`
	Delete bool    `json:"delete,omitempty"`
}

// Host is an entry of the platform's host list.
type Host struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// ConflictError reports a commit that wrote nothing, because the listed rows
// did not have their expected versions.
type ConflictError struct{ Rows []Row }

// Error names the first conflicting row and its current version.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "table conflict"
	}
	return fmt.Sprintf("table conflict: row %s has version %d", e.Rows[0].Key, e.Rows[0].Version)
}

// Client calls the platform. Its exported fields must be set before Init.
type Client struct {
	URL string
	// Timeout bounds each call, in addition to a wait that the call itself asks
	// the platform for; 0 means two seconds.
	Timeout time.Duration
	// DialContext opens connections; nil means the default dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	http *http.Client
}

// Init must be called once before any other method.
func (c *Client) Init() {
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	c.http = &http.Client{Transport: &http.Transport{DialContext: c.DialContext, MaxIdleConnsPerHost: 8}}
}

// Commit atomically writes all rows and returns the new revision. After an
// error that wraps ErrOutcomeUnknown the rows may or may not have been written.
func (c *Client) Commit(ctx context.Context, writes []Write) (Revision, error) {
	body, err := json.Marshal(struct {
		Writes []Write `json:"writes"`
	}{writes})
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	status, era, response, err := c.do(ctx, http.MethodPost, "/v1/table/commit", body, 0)
	if err != nil {
		return 0, err
	}
	var a struct {
		Revision  Revision `json:"revision"`
		Conflicts []Row    `json:"conflicts"`
	}
	if err := json.Unmarshal(response, &a); err != nil {
		return 0, fmt.Errorf("commit: status %d: %w", status, ErrOutcomeUnknown)
	}
	if status == http.StatusConflict {
		return 0, &ConflictError{Rows: inEra(era, a.Conflicts)}
	}
	return pack(era, a.Revision), nil
}

// pack adds the era to a commit number.
func pack(era revision.Era, n Revision) Revision {
	return Revision(revision.Revision{Era: era, Version: revision.Version(n)}.Pack())
}

// inEra adds the era to the commit numbers of rows.
func inEra(era revision.Era, rows []Row) []Row {
	for i := range rows {
		rows[i].Revision = pack(era, rows[i].Revision)
	}
	return rows
}

// Changes returns the rows under prefix that changed after since, and the
// revision up to which they are complete. It is a long poll: without changes it
// returns no rows after wait. If the service has come back from a copy since, it
// returns all rows.
func (c *Client) Changes(ctx context.Context, prefix string, since Revision, wait time.Duration) ([]Row, Revision, error) {
	rows, at, err := c.changesSince(ctx, prefix, revision.Unpack(uint64(since)), wait)
	if errors.Is(err, errOtherEra) {
		return c.changesSince(ctx, prefix, revision.Revision{}, 0)
	}
	return rows, at, err
}

// changesSince is Changes within one era. It fails with errOtherEra if the service does
// not have the requested revision.
func (c *Client) changesSince(ctx context.Context, prefix string, since revision.Revision, wait time.Duration) ([]Row, Revision, error) {
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("since", strconv.FormatUint(uint64(since.Version), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	status, era, response, err := c.do(ctx, http.MethodGet, "/v1/table/changes?"+q.Encode(), nil, wait)
	if err != nil {
		return nil, 0, err
	}
	if status == http.StatusGone || !since.IsZero() && era != since.Era {
		return nil, 0, errOtherEra
	}
	var a struct {
		Rows     []Row    `json:"rows"`
		Revision Revision `json:"revision"`
	}
	if err := json.Unmarshal(response, &a); err != nil {
		return nil, 0, fmt.Errorf("changes: %w", err)
	}
	return inEra(era, a.Rows), pack(era, a.Revision), nil
}

// Hosts returns the platform's list of live and leaving hosts. The list lags
// behind the hosts' real state.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	_, _, response, err := c.do(ctx, http.MethodGet, "/v1/hosts", nil, 0)
	if err != nil {
		return nil, err
	}
	var a struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(response, &a); err != nil {
		return nil, fmt.Errorf("hosts: %w", err)
	}
	return a.Hosts, nil
}

// PutObject stores body under key in the object store.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	_, _, _, err := c.do(ctx, http.MethodPut, "/v1/objects/"+key, body, 0)
	return err
}

// do makes one call and returns the status, the era of the service and the body of the
// response.
func (c *Client) do(ctx context.Context, method, path string, body []byte, wait time.Duration) (int, revision.Era, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, 0, nil, fmt.Errorf("platform: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	era, err := revision.ParseEra(resp.Header.Get(revision.EraHeader))
	if err != nil {
		return 0, 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict, http.StatusGone:
		return resp.StatusCode, era, response, nil
	}
	return 0, era, nil, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, resp.StatusCode)
}
