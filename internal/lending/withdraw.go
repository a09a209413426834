package lending

// borrowerRequest is a request that a lender runs.
type borrowerRequest struct {
	request
	// kept is set once the request may have been sent to the endpoint or has been answered, withdrawn
	// once it has been withdrawn. Only one of them is set.
	kept, withdrawn bool
}

// beginRequest notes that a request is run. It returns nil if the link is being closed: the request
// must not be run then.
func (b *borrowerLink) beginRequest(q request) *borrowerRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		return nil
	}
	b.running++
	r := &borrowerRequest{request: q}
	if q.Verb == verbRun {
		b.calls[q.Seq] = r
	}
	return r
}

// keep notes that a request is sent to the endpoint or answered. It returns false if the request has
// been withdrawn: nothing of it must be sent then.
func (b *borrowerLink) keep(r *borrowerRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.kept = !r.withdrawn
	return r.kept
}

func (b *borrowerLink) endRequest(r *borrowerRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls[r.Seq] == r {
		delete(b.calls, r.Seq)
	}
	if !r.withdrawn {
		b.noteAnswered()
	}
}

// noteAnswered notes that a request needs no response any more. The caller holds mu.
func (b *borrowerLink) noteAnswered() {
	b.running--
	if b.running == 0 && b.leaving {
		close(b.idle)
	}
}

// withdraw answers a call with a failure, unless it may have been sent or has been answered. Nothing
// of it is sent from then on.
func (b *borrowerLink) withdraw(seq uint64, f failure) {
	b.mu.Lock()
	r := b.calls[seq]
	if r == nil || r.kept || r.withdrawn {
		b.mu.Unlock()
		return
	}
	r.withdrawn = true
	b.mu.Unlock()
	b.respond(seq, response{Failure: f, Handle: r.Handle})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteAnswered()
}

// withdrawAll withdraws all calls that still wait here, so that their borrowers ask another host.
func (b *borrowerLink) withdrawAll() {
	b.mu.Lock()
	waiting := make([]uint64, 0, len(b.calls))
	for seq := range b.calls {
		waiting = append(waiting, seq)
	}
	b.mu.Unlock()
	for _, seq := range waiting {
		b.withdraw(seq, failLenderUnavailable)
	}
}

// inUse returns the number of requests that run.
func (b *borrowerLink) inUse() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}
