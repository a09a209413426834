// Package settings loads and validates the JSON settings file of an entry host.
//
// # Usage
//
//	s, err := settings.Load("host.json")
//	if err != nil { ... } // names the invalid field, its value and the allowed range
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/result"
)

// Settings configures one entry host. Fields that end in MS are in milliseconds.
type Settings struct {
	HostID              string    `json:"host_id"`
	Zone                core.Zone `json:"zone"`
	BindIP              string    `json:"bind_ip,omitempty"`
	CallerListen        string    `json:"caller_listen"`
	PeerListen          string    `json:"peer_listen"`
	PeerAdvertise       string    `json:"peer_advertise,omitempty"`
	OperatorListen      string    `json:"operator_listen"`
	SeedPeers           []string  `json:"seed_peers,omitempty"`
	PlatformURL         string    `json:"platform_url"`
	OperatorCredentials []string  `json:"operator_credentials"`
	PeerCredential      string    `json:"peer_credential"`
	EndpointPassword    string    `json:"endpoint_password"`
	StatementWaitMS     int64     `json:"statement_wait_ms,omitempty"`
	AckWaitMS           int64     `json:"ack_wait_ms,omitempty"`
	ReadWaitMS          int64     `json:"read_wait_ms,omitempty"`
	SuspectMS           int64     `json:"suspect_ms,omitempty"`
	DrainMS             int64     `json:"drain_ms,omitempty"`
	ReadPolicy          string    `json:"read_policy,omitempty"`
	SharePolicy         string    `json:"share_policy,omitempty"`
	LogLevel            string    `json:"log_level,omitempty"`
	// MemoryMB is the memory limit of the process in MiB, MaxFDs that of its open file
	// descriptors; 0 means none.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	MaxFDs   int64 `json:"max_fds,omitempty"`
	// MessageTimeoutMS is how long a caller may take from the first byte of a message to its
	// last, AnswerTimeoutMS how long it may leave an answer unread.
	MessageTimeoutMS int64 `json:"message_timeout_ms,omitempty"`
	AnswerTimeoutMS  int64 `json:"answer_timeout_ms,omitempty"`
	// SlowAfterMS is how long a message may be received, or an answer be unread, before its
	// connection can be closed because others wait for the memory.
	SlowAfterMS int64 `json:"slow_after_ms,omitempty"`
	// HTTPTimeoutMS is for a request to the ports of operators and peers and its answer,
	// HTTPHeaderBytes for its header.
	HTTPTimeoutMS   int64 `json:"http_timeout_ms,omitempty"`
	HTTPHeaderBytes int64 `json:"http_header_bytes,omitempty"`
	// CancelsPerS is how many cancel requests are forwarded to the other hosts in a second.
	CancelsPerS int64 `json:"cancels_per_s,omitempty"`
}

// Values of Settings.ReadPolicy. ReadSession routes by session consistency;
// the other two are baselines to compare it with.
const (
	ReadSession       = "session"
	ReadPrimaryOnly   = "primary_only"
	ReadRandomReplica = "random_replica"
)

// Values of Settings.SharePolicy: how the hosts divide endpoint connections
// and account connection caps. ShareFixed, with equal parts for all live hosts,
// is a baseline to compare ShareLeased with.
const (
	ShareLeased = "leased"
	ShareFixed  = "fixed"
)

// Defaults returns the values of the fields that a settings file may omit.
func Defaults() Settings {
	return Settings{
		StatementWaitMS: 8000,
		AckWaitMS:       8000,
		ReadWaitMS:      30,
		SuspectMS:       500,
		DrainMS:         10_000,
		ReadPolicy:      ReadSession,
		SharePolicy:     ShareLeased,
		LogLevel:        "info",
		// Three times the longest request of the contract, 10 s: no caller within the
		// contract reaches them.
		MessageTimeoutMS: 30_000,
		AnswerTimeoutMS:  30_000,
		SlowAfterMS:      5000,
		HTTPTimeoutMS:    30_000,
		HTTPHeaderBytes:  8 << 10,
		CancelsPerS:      100,
	}
}

// Load reads and validates the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.New(result.SettingsInvalid, "settings: %w", err)
	}
	return Decode(data)
}

// Decode parses JSON settings on top of the defaults and validates them.
// Unknown fields are errors.
func Decode(data []byte) (Settings, error) {
	s := Defaults()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, result.New(result.SettingsInvalid, "settings: %w", err)
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
	return s, s.Validate()
}

type textField struct {
	name, value string
}

type rangeField struct {
	name      string
	value     int64
	low, high int64
}

// Validate returns an error for the first field with an invalid value.
func (s Settings) Validate() error {
	for _, f := range []textField{
		{"host_id", s.HostID},
		{"zone", string(s.Zone)},
		{"platform_url", s.PlatformURL},
		{"peer_credential", s.PeerCredential},
		{"endpoint_password", s.EndpointPassword},
	} {
		if f.value == "" {
			return invalid(f.name, "", "a text that is not empty")
		}
	}
	for _, f := range []textField{
		{"caller_listen", s.CallerListen},
		{"peer_listen", s.PeerListen},
		{"operator_listen", s.OperatorListen},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return invalid(f.name, f.value, "IP number and port")
		}
	}
	if s.BindIP != "" && net.ParseIP(s.BindIP) == nil {
		return invalid("bind_ip", s.BindIP, "an IP number")
	}
	if len(s.OperatorCredentials) == 0 {
		return invalid("operator_credentials", "none", "at least one of the form name:secret")
	}
	return s.validateRanges()
}

func (s Settings) validateRanges() error {
	for _, f := range []rangeField{
		{"statement_wait_ms", s.StatementWaitMS, 10, 60_000},
		{"ack_wait_ms", s.AckWaitMS, 10, 60_000},
		{"read_wait_ms", s.ReadWaitMS, 0, 1000},
		{"suspect_ms", s.SuspectMS, 200, 5000},
		{"drain_ms", s.DrainMS, 100, 600_000},
		{"memory_mb", s.MemoryMB, 0, 1 << 20},
		{"max_fds", s.MaxFDs, 0, 1 << 20},
		{"message_timeout_ms", s.MessageTimeoutMS, 1000, 600_000},
		{"answer_timeout_ms", s.AnswerTimeoutMS, 1000, 600_000},
		{"slow_after_ms", s.SlowAfterMS, 100, 600_000},
		{"http_timeout_ms", s.HTTPTimeoutMS, 1000, 600_000},
		{"http_header_bytes", s.HTTPHeaderBytes, 1 << 10, 1 << 20},
		{"cancels_per_s", s.CancelsPerS, 1, 1_000_000},
	} {
		if f.value < f.low || f.value > f.high {
			return invalid(f.name, fmt.Sprint(f.value), fmt.Sprintf("%d to %d", f.low, f.high))
		}
	}
	switch s.ReadPolicy {
	case ReadSession, ReadPrimaryOnly, ReadRandomReplica:
	default:
		return invalid("read_policy", s.ReadPolicy, "session, primary_only or random_replica")
	}
	switch s.SharePolicy {
	case ShareLeased, ShareFixed:
	default:
		return invalid("share_policy", s.SharePolicy, "leased or fixed")
	}
	return nil
}

func invalid(field, value, allowed string) error {
	return result.New(result.SettingsInvalid, "field %s: value %q; allowed: %s", field, value, allowed)
}
