package replicaset

import (
	"testing"
	"time"
)

// TestPrimaryGoneFor guards against a promotion that passes over lost replicas too soon: registrations
// that lapsed while the store was down come back after its return.
func TestPrimaryGoneFor(t *testing.T) {
	const away = 9 * time.Second
	tests := []struct {
		name   string
		before func(s *Set)
		during func(s *Set)
		want   time.Duration
	}{
		{"the primary is registered", func(*Set) {}, func(*Set) {}, 0},
		{"its registration has lapsed just now", func(s *Set) { s.Deregister(at(1000), "p") }, func(*Set) {}, 0},
		{"it is gone", losePrimary, func(*Set) {}, away},
		{"it registers again", losePrimary, func(s *Set) {
			s.Register(at(2000), Member{ID: "p", Role: Primary, Started: 1})
			s.PrimaryGoneFor(at(2000))
			losePrimary(s)
		}, 0},
		{"the host does not hear from the store", losePrimary, func(s *Set) { s.SetBlind(true) }, 0},
		{"the host has not heard from the store for a while", losePrimary, func(s *Set) {
			s.SetBlind(true)
			s.PrimaryGoneFor(at(2000))
			s.SetBlind(false)
		}, 0},
		{"it is a replica by its own word", func(s *Set) { s.RecordRole(at(1000), "p", Replica) }, func(*Set) {}, away},
		{"it leads again by its own word", func(s *Set) { s.RecordRole(at(1000), "p", Replica) }, func(s *Set) { s.RecordRole(at(2000), "p", Primary) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := testSet()
			tt.before(s)
			s.PrimaryGoneFor(at(5000))
			tt.during(s)
			if got := s.PrimaryGoneFor(at(5000).Add(away)); got != tt.want {
				t.Errorf("the primary has been gone for %s, want %s", got, tt.want)
			}
		})
	}
}

func losePrimary(s *Set) {
	s.Deregister(at(1000), "p")
	s.Expire(at(1000).Add(removalGrace))
}
