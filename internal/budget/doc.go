// Package budget accounts for the bytes and connections that the peers of a process can make
// it hold, and decides who is refused or closed when they run low. It does no I/O: users
// report what they hold, and close a connection when its function Evict is called.
//
// # Usage
//
//	b := budget.New(budget.LineShares, memoryBytes, descriptors)
//	c, err := b.Open(budget.Clients, source, func() { nc.Close() })
//	if err != nil { ... } // refused
//	defer c.Close()
//	if err := c.Start(); err != nil { ... }
//	if err := c.Acquire(budget.Messages, n, timer.C); err != nil { ... }
//	defer c.Release(budget.Messages, n)
package budget
