package link

import (
	"encoding/json"
	"net/http"
	"time"
)

// ruleUpdate is the body of PUT /standin/rules.
type ruleUpdate struct {
	Places []zoneUpdate `json:"places,omitempty"`
	Paths  []pathUpdate `json:"paths,omitempty"`
}

// zoneUpdate assigns an IP address to a zone.
type zoneUpdate struct {
	IP   string `json:"ip"`
	Zone string `json:"zone"`
}

// pathUpdate sets the one-way delay and the cut between zones A and B.
type pathUpdate struct {
	A       string `json:"a"`
	B       string `json:"b"`
	DelayMS int64  `json:"delay_ms"`
	Cut     bool   `json:"cut"`
}

// Handler serves PUT /standin/rules, which changes the rules.
func (r *Rules) Handler(w http.ResponseWriter, req *http.Request) {
	var u ruleUpdate
	if err := json.NewDecoder(req.Body).Decode(&u); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, p := range u.Places {
		r.SetZone(p.IP, p.Zone)
	}
	for _, p := range u.Paths {
		r.SetDelay(p.A, p.B, time.Duration(p.DelayMS)*time.Millisecond)
		r.SetCut(p.A, p.B, p.Cut)
	}
}
