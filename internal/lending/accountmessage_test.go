package lending

import (
	"bytes"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
)

// TestScheduleOnTheWire checks that target and weight reach the holder over links of hosts that use
// accounts, also if the target has passed, and that they change no byte of other links.
func TestScheduleOnTheWire(t *testing.T) {
	for _, left := range []time.Duration{300 * time.Millisecond, 0, -time.Second, 3 * maxCallTime} {
		now := time.Now()
		with := wireRequest("g", "m", 0, engine.Call{QueueDeadline: now, Deadline: now, Account: "a", Class: 2, TargetBy: now.Add(left), Weight: 0.5})
		body, err := encodeRequest(with, true)
		if err != nil {
			t.Fatal(err)
		}
		q, err := decodeAccountRequest(body)
		if err != nil {
			t.Fatal(err)
		}
		c := q.call()
		if d := c.TargetBy.Sub(now) - min(left, maxCallTime); c.Weight != 0.5 || d.Abs() > 50*time.Millisecond {
			t.Errorf("a target in %s arrives as one in %s, the weight 0.5 as %g", left, c.TargetBy.Sub(now), c.Weight)
		}
		without := with
		without.TargetMS, without.Weight = 0, 0
		a, _ := encodeRequest(with, false)
		b, _ := encodeRequest(without, false)
		if !bytes.Equal(a, b) {
			t.Error("target and weight change the request of links without accounts")
		}
	}
	if c := wireRequest("g", "m", 0, engine.Call{}).call(); !c.TargetBy.IsZero() {
		t.Error("a call without a target gets one")
	}
}

// TestMalformedSchedule checks that a target or weight that would overflow or upset the order of
// the queue is rejected.
func TestMalformedSchedule(t *testing.T) {
	limit := maxCallTime.Milliseconds()
	for _, a := range []accountRequest{
		{TargetMS: limit + 1}, {TargetMS: -limit - 1}, {Weight: -1}, {Weight: maxWeight + 1}, {Weight: math.NaN()}, {Weight: math.Inf(1)},
	} {
		body, err := encode(a)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeAccountRequest(body); !errors.Is(err, errMalformed) {
			t.Errorf("target of %d ms and weight %g: error %v, want errMalformed", a.TargetMS, a.Weight, err)
		}
	}
}
