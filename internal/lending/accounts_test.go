package lending

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/engine"
	"github.com/cumintrestle/cumintrestle/internal/ratelimit"
	"github.com/cumintrestle/cumintrestle/internal/replicaset"
	"github.com/cumintrestle/cumintrestle/pkg/session"
)

// TestLinkWithoutAccounts guards against another form of the messages between hosts that don't
// use accounts: hosts of earlier releases could not read them.
func TestLinkWithoutAccounts(t *testing.T) {
	soon := time.Now().Add(time.Second)
	q := wireRequest("g", "e", 0, engine.Call{QueueDeadline: soon, Deadline: soon, Class: 2, Account: "mill", Ops: []engine.Op{{Kind: engine.OpStatement, ID: "1", Text: "READ x"}}})
	q.Seq, q.MaxWaitMS, q.TimeoutMS, q.SendByMS = 7, 100, 200, 50
	body, err := encodeRequest(q, false)
	if err != nil {
		t.Fatal(err)
	}
	const want = "8e0700006167616502186418c8f4f4f6f681890061316652454144207800006060f400f6"
	if got := hex.EncodeToString(body); got != want {
		t.Errorf("request %s, want %s", got, want)
	}
	body, err = encodeResponse(response{Seq: 7, Limits: &limitsResponse{Epoch: 1}}, false)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := hex.EncodeToString(body), "860700000080f6"; got != want && got != "8607000000f6f6" {
		t.Errorf("response %s, want %s", got, want)
	}
	if LinkPath(false) != "/lend" {
		t.Errorf("links are opened at %s", LinkPath(false))
	}
}

// TestLinkWithAccounts guards against an account, a time to send or a request for tokens that
// is lost between two hosts.
func TestLinkWithAccounts(t *testing.T) {
	limits := ratelimit.Request{
		Host: "host-1", Incarnation: 3, Sequence: 9, Epoch: 2, Answered: 8,
		Items: []ratelimit.RequestItem{{Account: "mill", Waiting: 2, Wanted: 5, Held: 1, Generated: 4, Returned: 3, Use: 7.5}},
	}
	soon := time.Now().Add(time.Second)
	q := wireRequest("g", "e", 0, engine.Call{QueueDeadline: soon, Deadline: soon, Account: "mill", Ops: []engine.Op{{Kind: engine.OpStatement, ID: "1", Text: "READ x"}}})
	q.SendByMS, q.Limits = 50, wireLimitsRequest(limits)
	body, err := encodeRequest(q, true)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeAccountRequest(body)
	if err != nil {
		t.Fatal(err)
	}
	if got.Account != "mill" || got.call().Account != "mill" || got.SendByMS != 50 {
		t.Errorf("account %q with %d ms to send", got.Account, got.SendByMS)
	}
	if r, err := got.Limits.value(); err != nil || !reflect.DeepEqual(r, limits) {
		t.Errorf("request %+v (%v), want %+v", r, err, limits)
	}

	answer := ratelimit.Response{
		Epoch: 2, Incarnation: 3, Sequence: 9, Lease: 14 * time.Second, Recovering: true,
		Items: []ratelimit.ResponseItem{{
			Account: "mill", Granted: 5, Validity: 570 * time.Millisecond, Fallback: 3.25,
			AskAgain: 20 * time.Millisecond, Spread: time.Second, Wait: true,
		}},
	}
	body, err = encodeResponse(response{Seq: 7, Limits: wireLimitsResponse(answer)}, true)
	if err != nil {
		t.Fatal(err)
	}
	a, err := decodeAccountResponse(body)
	if err != nil {
		t.Fatal(err)
	}
	if r, err := a.Limits.value(); err != nil || !reflect.DeepEqual(r, answer) {
		t.Errorf("response %+v (%v), want %+v", r, err, answer)
	}
}

// TestLimitsOutOfRange guards against values from another host that can't be computed with.
func TestLimitsOutOfRange(t *testing.T) {
	for name, q := range map[string]limitsRequest{
		"negative use": {Items: []limitsRequestItem{{Use: -1}}},
		"huge use":     {Items: []limitsRequestItem{{Use: 1e300}}},
		"long name":    {Items: []limitsRequestItem{{Account: session.Account(make([]byte, maxAccountName+1))}}},
		"long host":    {Host: string(make([]byte, maxAccountName+1))},
	} {
		if _, err := q.value(); err == nil {
			t.Errorf("a request with %s is accepted", name)
		}
	}
	for name, a := range map[string]limitsResponse{
		"negative lease":    {LeaseUS: -1},
		"long lease":        {LeaseUS: 1 << 60},
		"negative validity": {Items: []limitsResponseItem{{ValidityUS: -1}}},
		"negative rate":     {Items: []limitsResponseItem{{Fallback: -1}}},
	} {
		if _, err := a.value(); err == nil {
			t.Errorf("a response with %s is accepted", name)
		}
	}
}

// TestAccountHasOneHolder guards against two holders of an endpoint that both open connections
// for the same account: all hosts must ask the same one first.
func TestAccountHasOneHolder(t *testing.T) {
	m := replicaset.Member{ID: "e1", Zone: "a"}
	used := make(map[string]int)
	for _, a := range []session.Account{"mill", "farm", "shop", "yard", "barn", "dock", "pier", "port"} {
		first := ""
		for _, self := range []string{"h1", "h2", "h3", "h4", "h5", "h6"} {
			r := testRing(self)
			r.Set(append(r.peers, Peer{"h5", "b", "5", 0.2}, Peer{"h6", "c", "6", 0.2}))
			lenders, holders := r.Lenders(m, 10, a)
			if holders != holdersPerEndpoint {
				t.Fatalf("%d holders, want %d", holders, holdersPerEndpoint)
			}
			name := lenders[0]
			if name == "" {
				// The address of host hN is N.
				name = self[1:]
			}
			if first == "" {
				first = name
			}
			if name != first {
				t.Errorf("account %s: host %s asks %s first, others %s", a, self, name, first)
			}
		}
		used[first]++
	}
	if len(used) != holdersPerEndpoint {
		t.Errorf("all accounts use the same holder: %v", used)
	}
}
