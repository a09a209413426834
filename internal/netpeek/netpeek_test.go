package netpeek

import (
	"net"
	"testing"
	"time"
)

// TestReadable checks a connection that is silent, one with data, and one that its peer has closed.
func TestReadable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	await := func(want bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); Readable(nc) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("readable is %t, want %t", !want, want)
			}
		}
	}
	await(false)
	_, _ = peer.Write([]byte("x"))
	await(true)
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	await(false)
	_ = peer.Close()
	await(true)
	if pipe, _ := net.Pipe(); Readable(pipe) {
		t.Error("a pipe counts as readable")
	}
}
