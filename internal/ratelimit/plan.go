package ratelimit

import (
	"math"
	"time"
)

const (
	// minValidity is the validity if the bounds leave no room, usualValidity what an answer between regions needs
	// from a host that is short of processor time. Room beyond the latter goes to refill and start first.
	minValidity   = 200 * time.Millisecond
	usualValidity = 400 * time.Millisecond
	maxValidity   = time.Second
	// startTokens is the highest level of a bucket at the start of a term. Accounts with a high rate don't need it,
	// and others use a few operations per second.
	startTokens = 5
)

// plan says how the room that the bounds leave beyond rate x window + burst is used for one limit, so that
//
//	refill x (window + validity) + depth + start + hosts + skewMargin x fallbackPart x rate <= Allowed
type plan struct {
	// validity is that of tokens, refill the rate at which the bucket fills: at least the limit's rate.
	validity time.Duration
	refill   float64
	// start is the level of a bucket at the start of a term.
	start float64
	// hosts is the highest number of hosts with a fallback rate. Each may send one operation at once.
	hosts int
}

// plan returns the plan for a limit. Bounds without room end hosts first, then the start level, then shorten the
// validity down to minValidity.
func (b Bounds) plan(l Limit) plan {
	if l.Rate <= 0 {
		return plan{validity: maxValidity}
	}
	excess := b.Allowed(l) - l.Rate*b.Window.Seconds() - l.depth()
	p := plan{validity: usualValidity, refill: l.Rate}
	room := excess - l.Rate*(skewMargin.Seconds()*fallbackPart+usualValidity.Seconds())
	if room < 0 {
		p.validity = min(max(usualValidity+seconds(room/l.Rate), minValidity), usualValidity)
		return p
	}
	p.start = min(l.depth(), startTokens, room)
	room -= p.start
	hosts := b.Slack + b.Overage*(l.Rate*b.Window.Seconds()+l.Burst)/4
	p.hosts = int(max(math.Floor(min(hosts, room)), 0))
	room -= float64(p.hosts)
	reach := (b.Window + p.validity).Seconds()
	p.refill = l.Rate + min(room/reach, l.depth()/b.Window.Seconds())
	room -= (p.refill - l.Rate) * reach
	p.validity += seconds(min(max(room, 0)/p.refill, (maxValidity - p.validity).Seconds()))
	return p
}
