package link

import (
	"io"
	"net"
	"sync"
)

// Relay passes the connections of ln on to target until ln is closed.
func Relay(ln net.Listener, target func() string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go relayOne(in, target())
	}
}

func relayOne(in net.Conn, target string) {
	defer in.Close()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	var wg sync.WaitGroup
	wg.Add(2)
	pass := func(to, from net.Conn) {
		defer wg.Done()
		_, _ = io.Copy(to, from)
		_ = to.Close()
		_ = from.Close()
	}
	go pass(out, in)
	go pass(in, out)
	wg.Wait()
}
