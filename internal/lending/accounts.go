package lending

// LinkPath returns the path at which lenders accept links. Hosts that use accounts send
// messages of another form.
func LinkPath(accounts bool) string {
	if accounts {
		return "/lend/2"
	}
	return "/lend"
}

func (b *Borrower) decode(body []byte) (response, error) {
	if b.Accounts {
		return decodeAccountResponse(body)
	}
	return decodeResponse(body)
}

func (l *Lender) decode(body []byte) (request, error) {
	if l.Accounts {
		return decodeAccountRequest(body)
	}
	return decodeRequest(body)
}
