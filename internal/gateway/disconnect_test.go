package gateway

import (
	"math"
	"net"
	"testing"
	"time"
)

// TestCallerDisconnected checks a connection whose peer is idle, has sent unread
// bytes, and has closed the connection.
func TestCallerDisconnected(t *testing.T) {
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
	if callerDisconnected(conn) {
		t.Error("an idle caller counts as disconnected")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if callerDisconnected(conn) {
		t.Error("a caller that sent data counts as disconnected")
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatalf("callerDisconnected consumed the unread byte: %v", err)
	}
	_ = peer.Close()
	time.Sleep(20 * time.Millisecond)
	if !callerDisconnected(conn) {
		t.Error("a caller that closed its connection counts as connected")
	}
}

// TestNoResendAfterCallerDisconnects closes the caller's connection and then the
// engine of its stream. The gateway must not send the rest to another engine.
func TestNoResendAfterCallerDisconnects(t *testing.T) {
	tc := newTestCluster(t, 2, 0, 1, quickEngine)
	resp := tc.do("POST", tc.urls[0]+chatPath, nil, chatBodyOf("gone", 2000, true))
	var e events
	e.read(resp.Body, 3)
	var other int
	for i, engine := range tc.engines {
		if engine.Counts().TokensGenerated == 0 {
			other = i
		}
	}
	_ = resp.Body.Close()
	tc.engines[1-other].Close()
	time.Sleep(300 * time.Millisecond)
	if n := tc.engines[other].Counts().TokensGenerated; n != 0 {
		t.Errorf("the other engine generated %d tokens for a disconnected caller, want 0", n)
	}
	e.read(resp.Body, math.MaxInt)
}
