// Package deploy runs a complete deployment in one process, with entry hosts and
// stand-ins for the endpoints and the platform. It serves the demo, the
// measurements and the tests.
//
// # Usage
//
//	d, err := deploy.Start(deploy.Bathafarn(), deploy.Options{})
//	defer d.Stop()
//	d.Node("die-ledger-1-cymru-a").Stop() // simulates the crash of a primary
package deploy

import (
	"time"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// Spec describes the size and the delays of a deployment.
type Spec struct {
	// User is the prefix of the entry hosts' IDs.
	User   string
	Zones  []core.Zone
	Groups []session.Group
	// Delay is the one-way delay between two zones.
	Delay time.Duration
	// CallerDelay is the one-way delay to callers.
	CallerDelay time.Duration
	// ConnectDelay is the time that opening a session on an endpoint takes.
	ConnectDelay time.Duration
	// Slots and Connections are the limits of each endpoint.
	Slots       int
	Connections int
	Hosts       int
	Accounts    []AccountSpec
}

// AccountSpec describes a client account and its password.
type AccountSpec struct {
	Name         template.Account
	Password     string
	OldestReadMS int64
	Connections  int
}

// GazonSahel returns the example deployment of a company that takes orders for
// turf cutting.
func GazonSahel() Spec {
	return Spec{
		User:         "gazon-sahel",
		Zones:        []core.Zone{"sahel-a", "capbon-a", "tunis-a"},
		Groups:       []session.Group{"orders-ledger-1", "orders-ledger-2", "orders-ledger-3"},
		Delay:        10 * time.Millisecond,
		CallerDelay:  time.Millisecond,
		ConnectDelay: 10 * time.Millisecond,
		Slots:        2,
		Connections:  15,
		Hosts:        7,
		Accounts: []AccountSpec{
			{"gazon-growers", "growers-demo", 1000, 200},
			{"gazon-portal", "portal-demo", 5000, 400},
			{"gazon-crews", "crews-demo", 2000, 100},
		},
	}
}

// Bathafarn returns the example deployment of a die works.
func Bathafarn() Spec {
	return Spec{
		User:         "bathafarn",
		Zones:        []core.Zone{"cymru-a", "lloegr-a", "iwerddon-a"},
		Groups:       []session.Group{"die-ledger-1", "die-ledger-2", "die-ledger-3"},
		Delay:        20 * time.Millisecond,
		CallerDelay:  3 * time.Millisecond,
		ConnectDelay: 10 * time.Millisecond,
		Slots:        3,
		Connections:  40,
		Hosts:        7,
		Accounts: []AccountSpec{
			{"bathafarn-shop-floor", "shop-floor-demo", 1000, 200},
			{"bathafarn-buyers", "buyers-demo", 5000, 200},
		},
	}
}
