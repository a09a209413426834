package caller

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

const (
	paramToken     = "cumintrestle.session_token"
	paramRequestID = "cumintrestle.request_id"
	paramReadAge   = "cumintrestle.max_read_age"
	paramOutcome   = "cumintrestle.outcome"
	maxRequestID   = 128
)

var paramNames = []string{paramToken, paramRequestID, paramReadAge}

var (
	setForm   = regexp.MustCompile(`(?is)^\s*SET\s+(?:SESSION\s+)?(cumintrestle\.\w+)\s*(?:=|\sTO\s)\s*'?([^']*?)'?\s*;?\s*$`)
	showForm  = regexp.MustCompile(`(?is)^\s*SHOW\s+(cumintrestle\.\w+)\s*;?\s*$`)
	resetForm = regexp.MustCompile(`(?is)^\s*RESET\s+(cumintrestle\.\w+)\s*;?\s*$`)
)

// params are the session's own parameters.
type params struct {
	token     session.Token
	requestID string
	readAge   time.Duration
}

func (p *params) set(name, value string) error {
	switch strings.ToLower(name) {
	case paramToken:
		t, err := session.ParseToken(value)
		if err != nil {
			return result.New(result.SettingInvalid, "%s: %w", name, err)
		}
		// A token only adds: what this session saw itself stays seen.
		p.token.Merge(t)
	case paramRequestID:
		if len(value) > maxRequestID {
			return result.New(result.SettingInvalid, "%s: %d bytes, at most %d", name, len(value), maxRequestID)
		}
		p.requestID = value
	case paramReadAge:
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 0 {
			return result.New(result.SettingInvalid, "%s: %q is not a number of ms", name, value)
		}
		p.readAge = time.Duration(ms) * time.Millisecond
	default:
		return result.New(result.SettingInvalid, "there is no parameter %s", name)
	}
	return nil
}

func (p *params) reset(name string) error {
	switch strings.ToLower(name) {
	case paramToken:
		p.token = session.Token{}
	case paramRequestID:
		p.requestID = ""
	case paramReadAge:
		p.readAge = 0
	default:
		return result.New(result.SettingInvalid, "there is no parameter %s", name)
	}
	return nil
}

func (p *params) show(name string) (string, error) {
	switch strings.ToLower(name) {
	case paramToken:
		return p.token.String(), nil
	case paramRequestID:
		return p.requestID, nil
	case paramReadAge:
		return strconv.FormatInt(p.readAge.Milliseconds(), 10), nil
	}
	return "", result.New(result.SettingInvalid, "there is no parameter %s", name)
}

// maxAge is the oldest read allowed: the template's, or a tighter one.
func (c *callerSession) maxAge() time.Duration {
	age := time.Duration(c.template.OldestReadMS) * time.Millisecond
	if c.params.readAge > 0 {
		age = min(age, c.params.readAge)
	}
	return age
}
