package endpoint

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/benbjohnson/clock"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/standin/endpoint"
)

// TestSecondControlAnswer guards against the second answer to a status request that is taken
// for that of a fence, which the member refuses.
func TestSecondControlAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		policy endpoint.SecondAnswers
	}{
		{"single answers", endpoint.SecondAnswers{}},
		{"second answers", endpoint.SecondAnswers{Share: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			n := &endpoint.Node{ID: "a", Slots: 1, MaxSessions: 4, Bootstrap: true}
			if err := n.Start(ln); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = n.Stop() })
			n.SetSecondAnswers(c.policy)
			refused := 0
			ctl := &Control{Member: core.Member{ID: "a", Address: ln.Addr().String()}, Clock: clock.New(), OnEvent: func(e core.Event) {
				if f, ok := e.(core.FenceAnswered); ok {
					refused++
					if f.OK {
						t.Error("the member is taken for fenced at a term that it refuses")
					}
				}
			}}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for range 4 {
				_, _ = ctl.callOnSpare(ctx, "status", controlRequest{})
				ctl.Execute(ctx, core.SendFence{Member: "a", Term: 0, Nonce: "x"}, "")
			}
			if c.policy.Share == 0 && refused != 4 {
				t.Errorf("%d of 4 fences were answered", refused)
			}
		})
	}
}
