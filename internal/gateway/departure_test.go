package gateway

import (
	"math"
	"net"
	"testing"
	"time"
)

// TestCallerLeft asks a connection about its peer: there, there with unread
// bytes, and gone.
func TestCallerLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := deadlineListener{l, time.Second}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if callerLeft(conn) {
		t.Error("an idle caller counts as gone")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if callerLeft(conn) {
		t.Error("a caller that sent something counts as gone")
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatalf("the byte was taken by the question: %v", err)
	}
	_ = peer.Close()
	time.Sleep(20 * time.Millisecond)
	if !callerLeft(conn) {
		t.Error("a caller that closed its connection counts as there")
	}
}

// TestNoResendForDepartedCaller lets the caller of a stream leave and its
// engine die: the gateway sends the rest to no other engine.
func TestNoResendForDepartedCaller(t *testing.T) {
	y := newYard(t, 2, 0, 1, quickEngine)
	resp := y.do("POST", y.urls[0]+chatPath, nil, chatBodyOf("gone", 2000, true))
	var e events
	e.read(resp.Body, 3)
	var other int
	for i, engine := range y.engines {
		if engine.Counts().TokensGenerated == 0 {
			other = i
		}
	}
	_ = resp.Body.Close()
	y.engines[1-other].Close()
	time.Sleep(300 * time.Millisecond)
	if n := y.engines[other].Counts().TokensGenerated; n != 0 {
		t.Errorf("the other engine generated %d tokens for a caller that left", n)
	}
	e.read(resp.Body, math.MaxInt)
}
