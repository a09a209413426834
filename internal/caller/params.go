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
	paramToken        = "cumintrestle.session_token"
	paramRequestID    = "cumintrestle.request_id"
	paramMaxReadAge   = "cumintrestle.max_read_age"
	paramOutcome      = "cumintrestle.outcome"
	maxRequestIDBytes = 128
)

var paramNames = []string{paramToken, paramRequestID, paramMaxReadAge}

var (
	setPattern   = regexp.MustCompile(`(?is)^\s*SET\s+(?:SESSION\s+)?(cumintrestle\.\w+)\s*(?:=|\sTO\s)\s*(?:'((?:[^']|'')*)'|([^\s';]+))\s*;?\s*$`)
	showPattern  = regexp.MustCompile(`(?is)^\s*SHOW\s+(cumintrestle\.\w+)\s*;?\s*$`)
	resetPattern = regexp.MustCompile(`(?is)^\s*RESET\s+(cumintrestle\.\w+)\s*;?\s*$`)
)

// params are the cumintrestle parameters of a session.
type params struct {
	token      session.Token
	requestID  string
	maxReadAge time.Duration
}

func (p *params) set(name, value string) error {
	switch strings.ToLower(name) {
	case paramToken:
		t, err := session.ParseToken(value)
		if err != nil {
			return result.New(result.SettingInvalid, "%s: %w", name, err)
		}
		// Merge, so that the session keeps the log points it has observed.
		p.token.Merge(t)
	case paramRequestID:
		if len(value) > maxRequestIDBytes {
			return result.New(result.SettingInvalid, "%s: %d bytes, at most %d", name, len(value), maxRequestIDBytes)
		}
		// The value is a part of the request, which has to be freed.
		p.requestID = strings.Clone(value)
	case paramMaxReadAge:
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 0 {
			return result.New(result.SettingInvalid, "%s: %q is not a number of ms", name, value)
		}
		p.maxReadAge = time.Duration(ms) * time.Millisecond
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
	case paramMaxReadAge:
		p.maxReadAge = 0
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
	case paramMaxReadAge:
		return strconv.FormatInt(p.maxReadAge.Milliseconds(), 10), nil
	}
	return "", result.New(result.SettingInvalid, "there is no parameter %s", name)
}

// maxAge returns the staleness bound for reads: the template's, or the
// session's if that is tighter.
func (c *callerSession) maxAge() time.Duration {
	age := time.Duration(c.template.OldestReadMS) * time.Millisecond
	if c.params.maxReadAge > 0 {
		age = min(age, c.params.maxReadAge)
	}
	return age
}
