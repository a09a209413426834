// Package relay passes the rows of the store on from entry host to entry host.
// In a large fleet a few hosts of each region follow the store, and
// the others hear of each change from one of them, so that the calls to the
// store do not grow with the fleet.
//
// Every host keeps a Feed: the rows as far as it knows them, with the store's own
// versions. What it takes from the store or from another host never goes back to
// an earlier version. A host that is asked to pass rows on follows the store
// itself, so that no chain of relays forms. A Link connects a Feed to that of
// another host; it goes to the next one when that host is silent or has itself
// lost the store. A host without a link that is current follows the store.
//
// Hosts speak CBOR over one WebSocket from the host that hears to the one that
// follows the store.
//
// # Usage
//
//	feed := &relay.Feed{Tables: []relay.Table{"op"}, Changed: apply}
//	http.Handle("GET /feed", feed)
//	link := &relay.Link{Feed: feed, Relays: ring.Relays, DialContext: dial}
//	go link.Run(ctx)
//	feed.Take(update) // of the store, or of another host
package relay
