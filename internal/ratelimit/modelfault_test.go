package ratelimit

import "time"

type faultKind int

const (
	cut faultKind = iota
	freeze
	restart
	storeDown
	slow
	loss
	changeLimit
	crash
	release
	restartAll
	faultKinds
)

// fault affects a host, or the granting host if host is -1, from at for the given time.
type fault struct {
	kind     faultKind
	host     int
	at, time time.Duration
	// limit is that of a changed limit, delay the largest delay of a slow link.
	limit Limit
	delay time.Duration
	// flapping faults are in effect every other flapTime, wide ones affect every other host, beginning with this one.
	flapping, wide bool
}

// randomFault decodes a fault, so that a list of numbers can be shrunk.
func randomFault(n uint32, hosts int, l Limit) fault {
	f := fault{
		kind: faultKind(n % uint32(faultKinds)), host: int(n>>3%16)%(hosts+1) - 1,
		at:    time.Duration(n>>7%64) * 500 * time.Millisecond,
		time:  []time.Duration{700, 2000, 6000, 14000}[n>>13%4] * time.Millisecond,
		delay: []time.Duration{200, 700, 1500, 4000}[n>>15%4] * time.Millisecond,
	}
	f.flapping, f.wide = n>>22%2 == 0, n>>23%2 == 0
	factor := []float64{0.2, 0.5, 2, 4}[n>>17%4]
	f.limit = Limit{Rate: l.Rate * factor, Burst: l.Burst * []float64{0.2, 1, 4}[n>>19%3]}
	return f
}
