package link

import (
	"io"
	"net"
	"sync"
)

// Relay forwards each connection of ln to the address that target returns for
// it, until ln is closed.
func Relay(ln net.Listener, target func() string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go relayConn(in, target())
	}
}

func relayConn(in net.Conn, target string) {
	defer in.Close()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	var wg sync.WaitGroup
	wg.Add(2)
	copyAndClose := func(to, from net.Conn) {
		defer wg.Done()
		_, _ = io.Copy(to, from)
		_ = to.Close()
		_ = from.Close()
	}
	go copyAndClose(out, in)
	go copyAndClose(in, out)
	wg.Wait()
}
