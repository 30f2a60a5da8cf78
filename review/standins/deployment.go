//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Requests and routes like those of a small site.

func smallRoutes() []Route {
	return []Route{
		{Name: "guide", Prefix: "/guide/", Kind: "streaming", TimeoutMS: 15000, TargetMS: 1000, Priority: 1, Service: "llm", Attempts: 1, MaxGapMS: 300, Sticky: true},
		{Name: "ask", Prefix: "/ask/", Kind: "streaming", TimeoutMS: 3000, TargetMS: 500, Service: "llm", Attempts: 2, MaxGapMS: 300, Sticky: true, Resumable: true},
		{Name: "commit", Prefix: "/commit/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 300, Priority: 2, Service: "app", Attempts: 1},
		{Name: "lookup", Prefix: "/lookup/", Kind: "idempotent", TimeoutMS: 1500, TargetMS: 300, Priority: 2, Service: "app", Attempts: 2},
	}
}

func smallServices() []Service {
	return []Service{
		{Name: "llm", HealthPath: "/healthz", MaxConns: 360, Protocol: "h1", Engine: map[string]any{"slots": 64, "kv_capacity": 847972}},
		{Name: "app", HealthPath: "/healthz", MaxConns: 100, Protocol: "h1"},
	}
}

func promptHeader() http.Header {
	part := rand.Uint32()
	return http.Header{"X-Kumquatyard-Model": {"m"}, "X-Kumquatyard-Token-Usage": {"1460,80"}, "X-Kumquatyard-Prefix-Hash": {fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", part)}}
}

func guideCall() Call {
	return Call{Method: http.MethodPost, Path: "/guide/x", Body: "notes", Deadline: 15 * time.Second, Header: promptHeader()}
}

func askCall() Call {
	return Call{Method: http.MethodPost, Path: "/ask/x", Body: "question", Deadline: 3 * time.Second, Header: promptHeader()}
}

func commitCall() Call {
	return Call{Method: http.MethodPost, Path: "/commit/x", Body: "booking", Deadline: 1500 * time.Millisecond}
}

func lookupCall() Call {
	return Call{Method: http.MethodGet, Path: "/lookup/x", Deadline: 1500 * time.Millisecond}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
