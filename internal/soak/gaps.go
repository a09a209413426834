package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/platform/standin"
)

// Gap is the time without acknowledged writes around a promotion: from the last one of an
// earlier term to the first one of the new term.
type Gap struct {
	Endpoint string `json:"endpoint"`
	Term     int    `json:"term"`
	// MS is -1 if no write was acknowledged in one of the two.
	MS int64 `json:"ms"`
}

// checkSwitches checks that each promoted endpoint had all acknowledged writes of earlier
// terms when its promotion took effect, and returns the gap of each promotion. Writes that
// were acknowledged later have to be in that log as well.
func (l *ledger) checkSwitches(all []*standin.Group) []Gap {
	var gaps []Gap
	for i, g := range all {
		acks := l.acksOf(i, g)
		for _, p := range g.Promotions() {
			var last, first time.Time
			for _, a := range acks {
				switch {
				case a.term < p.Term && !p.Kept[a.value]:
					l.addViolation("lost_by_promotion", a.value, "acknowledged at %d ms in term %d, not in the log of %s when it was promoted to term %d",
						a.at.Sub(l.began).Milliseconds(), a.term, p.ID, p.Term)
				case a.term < p.Term && a.at.After(last):
					last = a.at
				case a.term == p.Term && (first.IsZero() || a.at.Before(first)):
					first = a.at
				}
			}
			gap := Gap{Endpoint: p.ID, Term: p.Term, MS: -1}
			if !first.IsZero() && !last.IsZero() {
				gap.MS = first.Sub(last).Milliseconds()
			}
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// termAck is an acknowledged write and the term that it was committed in.
type termAck struct {
	value string
	at    time.Time
	term  int
}

// acksOf returns the acknowledged writes of one group.
func (l *ledger) acksOf(group int, g *standin.Group) []termAck {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []termAck
	for key, writes := range l.acks {
		item, ok := strings.CutPrefix(key, itemKey(group, ""))
		if !ok {
			continue
		}
		for _, a := range writes {
			v := l.texts.itemValue(item, a.n)
			out = append(out, termAck{v, a.at, g.CommitTerm(v)})
		}
	}
	return out
}

// Summary describes the failover gaps of all runs of a command.
func Summary(all []Gap) string {
	var ms []int64
	for _, g := range all {
		if g.MS >= 0 {
			ms = append(ms, g.MS)
		}
	}
	if len(ms) == 0 {
		return fmt.Sprintf("failover gaps: none of %d promotions", len(all))
	}
	slices.Sort(ms)
	return fmt.Sprintf("failover gaps: median %d ms, worst %d ms, of %d promotions; %d more without a write before or after",
		ms[len(ms)/2], ms[len(ms)-1], len(ms), len(all)-len(ms))
}
