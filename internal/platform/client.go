// Package platform talks to the platform's table service, object store and
// host list over HTTP and JSON.
//
// # Usage
//
//	c := &platform.Client{URL: "http://10.0.0.1:8080"}
//	rev, err := c.Commit(ctx, []platform.Write{{Key: "account/x", Expect: 3, Value: v}})
//	rows, rev, err := c.Changes(ctx, rev, 20*time.Second)
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
)

const answerLimit = 64 << 20

// ErrNoAnswer says that the outcome of a call is unknown.
var ErrNoAnswer = errors.New("the platform gave no answer")

// Revision numbers the commits of the table service.
type Revision uint64

// Version numbers the states of one row; 0 is a row that does not exist.
type Version uint64

// Row is one versioned row.
type Row struct {
	Key      string   `json:"key" cbor:"1,keyasint"`
	Version  Version  `json:"version" cbor:"2,keyasint"`
	Revision Revision `json:"revision" cbor:"3,keyasint"`
	Value    []byte   `json:"value,omitempty" cbor:"4,keyasint,omitempty"`
	Deleted  bool     `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
}

// Write is one row of a commit. Expect is the version the row must have.
type Write struct {
	Key    string  `json:"key"`
	Expect Version `json:"expect"`
	Value  []byte  `json:"value,omitempty"`
	Delete bool    `json:"delete,omitempty"`
}

// Host is one host in the platform's lagging list.
type Host struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// ConflictError lists the rows that had another version than expected. No row
// of the commit was written.
type ConflictError struct{ Rows []Row }

// Error names the first row.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "table conflict"
	}
	return fmt.Sprintf("table conflict: row %s has version %d", e.Rows[0].Key, e.Rows[0].Version)
}

// Client is a client of the platform. The exported fields are set before use.
type Client struct {
	URL string
	// Timeout bounds each call beyond its own wait; 0 is two seconds.
	Timeout time.Duration
	// DialContext opens connections; nil dials as usual.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	http *http.Client
}

// Init prepares the client; it is called once before the first call.
func (c *Client) Init() {
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	c.http = &http.Client{Transport: &http.Transport{DialContext: c.DialContext, MaxIdleConnsPerHost: 8}}
}

// Commit writes all rows or none and returns the new revision. An error that
// wraps ErrNoAnswer leaves the outcome open.
func (c *Client) Commit(ctx context.Context, writes []Write) (Revision, error) {
	body, err := json.Marshal(struct {
		Writes []Write `json:"writes"`
	}{writes})
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	status, answer, err := c.do(ctx, http.MethodPost, "/v1/table/commit", body, 0)
	if err != nil {
		return 0, err
	}
	var a struct {
		Revision  Revision `json:"revision"`
		Conflicts []Row    `json:"conflicts"`
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		return 0, fmt.Errorf("commit: status %d: %w", status, ErrNoAnswer)
	}
	if status == http.StatusConflict {
		return 0, &ConflictError{Rows: a.Conflicts}
	}
	return a.Revision, nil
}

// Changes returns the rows that changed after since, and the revision up to
// which that is complete. It waits up to wait for a change.
func (c *Client) Changes(ctx context.Context, prefix string, since Revision, wait time.Duration) ([]Row, Revision, error) {
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("since", strconv.FormatUint(uint64(since), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	_, answer, err := c.do(ctx, http.MethodGet, "/v1/table/changes?"+q.Encode(), nil, wait)
	if err != nil {
		return nil, 0, err
	}
	var a struct {
		Rows     []Row    `json:"rows"`
		Revision Revision `json:"revision"`
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		return nil, 0, fmt.Errorf("changes: %w", err)
	}
	return a.Rows, a.Revision, nil
}

// Hosts returns the platform's list of live and leaving hosts; it lags.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	_, answer, err := c.do(ctx, http.MethodGet, "/v1/hosts", nil, 0)
	if err != nil {
		return nil, err
	}
	var a struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		return nil, fmt.Errorf("hosts: %w", err)
	}
	return a.Hosts, nil
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	_, _, err := c.do(ctx, http.MethodPut, "/v1/objects/"+key, body, 0)
	return err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("platform: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return 0, nil, fmt.Errorf("%w: status %d", ErrNoAnswer, resp.StatusCode)
	}
	return resp.StatusCode, answer, nil
}
