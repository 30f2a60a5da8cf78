package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"kumquatyard/internal/platform"
	pb "kumquatyard/proto/kumquat/v1"
)

// fakeAgent answers status and explain requests, or fails with err if it is set.
type fakeAgent struct{ err error }

func (f fakeAgent) Call(_ context.Context, _ string, req *pb.Request) (*pb.Response, error) {
	if f.err != nil {
		return nil, f.err
	}
	if explain := req.GetExplain(); explain != nil {
		reply := &pb.ExplainReply{RequestId: explain.GetRequestId()}
		if explain.GetRequestId() == "known" {
			reply.Lines = []string{"sent to engine-a1: prefix"}
		}
		return &pb.Response{Body: &pb.Response_Explain{Explain: reply}}, nil
	}
	return &pb.Response{Body: &pb.Response_Status{Status: &pb.StatusReply{
		Self: &pb.Peer{Id: "agent-a"}, ConfigVersion: 2,
		Servers: []*pb.ServerState{{Id: "engine-a1", Lifecycle: pb.Lifecycle_LIFECYCLE_LEAVING, AgeMs: 1500}},
		Duties:  []*pb.Duty{{Name: "placement", Holder: "agent-b", Fence: 7}},
	}}}, nil
}

func TestStatus(t *testing.T) {
	c := newDemo(t)
	unreachable := errors.New("no route")
	tests := []struct {
		name    string
		address string
		agent   fakeAgent
		failed  bool
		want    []string
	}{
		{"both", c.address, fakeAgent{}, false, []string{"engine-a1", "leaving", "1.5s", "placement", "agent-b"}},
		{"no agent", c.address, fakeAgent{unreachable}, false, []string{"no route", "key-value service"}},
		{"no key-value service", "127.0.0.1:1", fakeAgent{}, false, []string{"agent-a", "was not sent"}},
		{"neither", "127.0.0.1:1", fakeAgent{unreachable}, true, []string{"no route", "was not sent"}},
	}
	for _, tt := range tests {
		for _, output := range []string{"table", "json"} {
			var out bytes.Buffer
			a := &app{Settings: Settings{Output: output, Agent: "agent"}, stdout: &out, caller: tt.agent, kv: platform.NewKVClient(tt.address, time.Second)}
			if err := a.status(t.Context()); (err != nil) != tt.failed {
				t.Errorf("%s: status error = %v, want error: %v", tt.name, err, tt.failed)
			}
			if output == "json" && !json.Valid(out.Bytes()) {
				t.Errorf("%s: output is not valid JSON: %s", tt.name, &out)
			}
			for _, want := range tt.want {
				if output == "table" && !strings.Contains(out.String(), want) {
					t.Errorf("%s: output lacks %q:\n%s", tt.name, want, &out)
				}
			}
		}
	}
}

func TestExplain(t *testing.T) {
	var out bytes.Buffer
	a := &app{Settings: Settings{Output: "json"}, stdout: &out, caller: fakeAgent{}}
	if err := a.explain(t.Context(), "known"); err != nil || !strings.Contains(out.String(), "engine-a1") {
		t.Errorf("explain of a known request: error %v, output %s, want engine-a1", err, &out)
	}
	if err := a.explain(t.Context(), "other"); err == nil {
		t.Error("explain of an unknown request succeeded, want an error")
	}
}
