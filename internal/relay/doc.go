// Package relay distributes the rows of the store among entry hosts. In a large
// fleet a few hosts of each region, the relays, follow the store; the other hosts
// subscribe to one of them, so that the number of calls to the store does not grow
// with the fleet.
//
// Every host has a Feed: its copy of the rows, with the revisions that the store
// assigned. Updates from the store or from another host never move a table back to
// an earlier revision. When the store comes back from a copy, its rows are of a later
// era and replace the whole table, though their versions may be lower. A host with subscribers follows the store itself, so that no
// chain of relays forms. A Link subscribes a Feed to that of another host. It moves
// to the next host when that one stops sending or loses its own access to the store.
// A host without a current link follows the store itself.
//
// Hosts exchange CBOR messages over one WebSocket from subscriber to relay.
//
// # Usage
//
//	feed := &relay.Feed{Tables: []relay.Table{"op"}, BootTime: clock, OnUpdate: apply}
//	http.Handle("GET "+relay.Path, feed)
//	link := &relay.Link{
//		Feed: feed, Relays: relays, DialContext: dial,
//		OnDown: ring.MarkDown, OnUp: ring.MarkUp, OnEvent: log,
//	}
//	go link.Run(ctx)
//	feed.Apply(update) // an update read from the store
package relay
