// Package grants applies the rate limits of client accounts on an entry host. It asks the
// granting host for tokens as operations arrive, and grants tokens itself while this host
// holds the lease. The decisions are those of package ratelimit; this package adds the
// clock, the messages and the lease.
//
// # Usage
//
//	s := &grants.Service{
//		Host: "host-1", Incarnation: started, Bounds: bounds, BootTime: bootTime, Bootstrap: first,
//		Exchange: exchange, Rank: ring.GrantRank, ReadLease: read, WriteLease: write,
//	}
//	s.SetLimits(limits)
//	go s.Run(ctx)
//	sendBy, err := s.Admit(deadline, account)
package grants
