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

// StateMemoryRun is the memory that the declared state uses on an entry host.
type StateMemoryRun struct {
	Accounts  int     `json:"accounts"`
	BytesEach float64 `json:"bytes_each"`
	RowBytes  int     `json:"row_bytes"`
}

// StateMemory measures the memory that declared client accounts use on an entry
// host.
func StateMemory(accounts int) (StateMemoryRun, error) {
	v, err := template.NewVerifier("secret")
	if err != nil {
		return StateMemoryRun{}, err
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
			return StateMemoryRun{}, fmt.Errorf("template: %w", err)
		}
		size = len(raw)
		rows = append(rows, platform.Row{Key: declared.AccountPrefix + string(t.Account), Version: 1, Revision: platform.Revision(i + 1), Value: raw})
	}
	before := memoryInUse()
	s := declared.NewState()
	s.Merge(rows, platform.Revision(accounts))
	after := memoryInUse()
	runtime.KeepAlive(s)
	runtime.KeepAlive(rows)
	return StateMemoryRun{Accounts: accounts, BytesEach: float64(after-before)/float64(accounts) + float64(size), RowBytes: size}, nil
}
