// Package fairqueue decides the order of the requests that wait for a scarce resource, such as
// an endpoint. It performs no I/O, starts no goroutines and reads no clock; its user must provide
// locking.
//
// Requests of the first class always go first. The other classes share what is left by weight.
// Within a class, start-time fair queueing (SFQ) divides capacity between accounts: the account
// with the lowest virtual start time is next, and each request that is served moves that time on
// by its cost divided by the account's weight. Within an account, requests that can still meet
// their target go first, in order of arrival.
package fairqueue
