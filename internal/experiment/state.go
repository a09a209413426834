package experiment

import (
	"encoding/json"
	"fmt"
	"runtime"

	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

// StateRun is the memory of declared state.
type StateRun struct {
	Accounts  int     `json:"accounts"`
	BytesEach float64 `json:"bytes_each"`
	RowBytes  int     `json:"row_bytes"`
}

// State measures the memory that declared accounts take on one host.
func State(accounts int) (StateRun, error) {
	v, err := template.NewVerifier("secret")
	if err != nil {
		return StateRun{}, err
	}
	rows := make([]platform.Row, 0, accounts)
	size := 0
	for i := range accounts {
		t := template.Template{
			Account: template.Account(fmt.Sprintf("account-%06d", i)), Groups: []session.Group{"die-ledger-1", "die-ledger-2", "die-ledger-3"},
			OldestReadMS: 1000, Connections: 100, Verifier: v, State: template.Active,
		}
		raw, err := json.Marshal(t)
		if err != nil {
			return StateRun{}, fmt.Errorf("template: %w", err)
		}
		size = len(raw)
		rows = append(rows, platform.Row{Key: declared.AccountPrefix + string(t.Account), Version: 1, Revision: platform.Revision(i + 1), Value: raw})
	}
	before := inUse()
	s := declared.NewState()
	s.Merge(rows, platform.Revision(accounts))
	after := inUse()
	runtime.KeepAlive(s)
	runtime.KeepAlive(rows)
	return StateRun{Accounts: accounts, BytesEach: float64(after-before)/float64(accounts) + float64(size), RowBytes: size}, nil
}
