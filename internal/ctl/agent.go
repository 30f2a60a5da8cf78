package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"google.golang.org/protobuf/encoding/protojson"

	"kumquatyard/internal/configstore"
	pb "kumquatyard/proto/kumquat/v1"
)

// agentTimeout bounds a call to an agent.
const agentTimeout = 5 * time.Second

// call sends a request to the configured agent.
func (a *app) call(ctx context.Context, req *pb.Request) (*pb.Response, error) {
	caller, closeCaller, err := a.connect()
	if err != nil {
		return nil, err
	}
	defer closeCaller()
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	response, err := caller.Call(ctx, a.Agent, req)
	if err != nil {
		return nil, fmt.Errorf("call agent %s: %w", a.Agent, err)
	}
	return response, nil
}

// fleetStatus combines the status of the key-value service and of an agent.
// Either may be unreachable.
type fleetStatus struct {
	StoredVersion uint64          `json:"stored_version"`
	StoreError    string          `json:"store_error,omitempty"`
	Warnings      []string        `json:"warnings,omitempty"`
	Agent         json.RawMessage `json:"agent,omitempty"`
	AgentError    string          `json:"agent_error,omitempty"`

	reply *pb.StatusReply
}

// status prints the status of the key-value service and of the agent. It fails
// only if neither is reachable.
func (a *app) status(ctx context.Context) error {
	var s fleetStatus
	stored, warnings, storeErr := a.storedVersion(ctx)
	s.StoredVersion, s.Warnings = stored, warnings
	if storeErr != nil {
		s.StoreError = storeErr.Error()
	}
	response, agentErr := a.call(ctx, &pb.Request{Body: &pb.Request_Status{Status: &pb.StatusRequest{}}})
	if agentErr != nil {
		s.AgentError = agentErr.Error()
	}
	if s.reply = response.GetStatus(); s.reply != nil {
		text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(s.reply)
		if err != nil {
			return err
		}
		s.Agent = text
	}
	if err := a.print(s); err != nil {
		return err
	}
	if storeErr != nil && agentErr != nil {
		return &exitError{code: ExitFailure}
	}
	return nil
}

func (a *app) storedVersion(ctx context.Context) (uint64, []string, error) {
	built, err := configstore.NewWriter(a.kv).Config(ctx)
	if err != nil {
		return 0, nil, err
	}
	return built.Version, built.Warnings, nil
}

func (s fleetStatus) tables() []table.Writer {
	t := newTable("Configuration", "where", "version", "remark")
	t.AppendRow(table.Row{"key-value service", s.StoredVersion, s.StoreError})
	t.AppendRow(table.Row{"agent " + s.reply.GetSelf().GetId(), s.reply.GetConfigVersion(), s.AgentError})
	for _, w := range s.Warnings {
		t.AppendRow(table.Row{"warning", "", w})
	}
	out := []table.Writer{t}
	if s.reply == nil {
		return out
	}
	return append(out, peersTable(s.reply), serversTable(s.reply), dutiesTable(s.reply))
}

func peersTable(reply *pb.StatusReply) table.Writer {
	t := newTable("Entry instances", "id", "role", "zone", "address", "leaving")
	for _, p := range reply.GetPeers() {
		t.AppendRow(table.Row{p.GetId(), p.GetRole(), p.GetZone(), p.GetAddress(), p.GetLeaving()})
	}
	return t
}

var lifecycleNames = map[pb.Lifecycle]string{
	pb.Lifecycle_LIFECYCLE_UNSPECIFIED: "unknown", pb.Lifecycle_LIFECYCLE_STARTING: "starting", pb.Lifecycle_LIFECYCLE_SERVING: "serving",
	pb.Lifecycle_LIFECYCLE_LEAVING: "leaving", pb.Lifecycle_LIFECYCLE_GONE: "gone",
}

func serversTable(reply *pb.StatusReply) table.Writer {
	t := newTable("Servers", "id", "state", "running", "queued", "queued tokens", "slots", "report age", "reachable")
	for _, s := range reply.GetServers() {
		t.AppendRow(table.Row{s.GetId(), lifecycleNames[s.GetLifecycle()], s.GetRunning(), s.GetQueued(), s.GetQueuedTokens(), s.GetSlots(), reportAge(s), !s.GetUnreachable()})
	}
	return t
}

// reportAge returns the age of a server's last report, or "-" before the first
// one.
func reportAge(s *pb.ServerState) string {
	if s.GetLifecycle() == pb.Lifecycle_LIFECYCLE_UNSPECIFIED {
		return "-"
	}
	return (time.Duration(s.GetAgeMs()) * time.Millisecond).String()
}

func dutiesTable(reply *pb.StatusReply) table.Writer {
	t := newTable("Duties", "duty", "holder", "fencing token")
	for _, d := range reply.GetDuties() {
		t.AppendRow(table.Row{d.GetName(), d.GetHolder(), d.GetFence()})
	}
	return t
}

// explanation describes why a request was routed to its server.
type explanation struct {
	RequestID string   `json:"request_id"`
	Lines     []string `json:"lines"`
}

func (e explanation) tables() []table.Writer {
	t := newTable("Request " + e.RequestID)
	for _, line := range e.Lines {
		t.AppendRow(table.Row{line})
	}
	return []table.Writer{t}
}

func (a *app) explain(ctx context.Context, id string) error {
	response, err := a.call(ctx, &pb.Request{Body: &pb.Request_Explain{Explain: &pb.ExplainRequest{RequestId: id}}})
	if err != nil {
		return err
	}
	lines := response.GetExplain().GetLines()
	if len(lines) == 0 {
		return fmt.Errorf("no entry instance has a record of request %s", id)
	}
	return a.print(explanation{RequestID: id, Lines: lines})
}

// push sends an accepted version to the configured agent, from which it spreads
// to all others even if the key-value service fails now. It returns the agent's
// address, or "" if the push failed. That is not an error, because agents
// normally learn of the version by their watch on the key-value service.
func (a *app) push(ctx context.Context, bundle *pb.ConfigBundle) string {
	if bundle == nil || (a.Keys == "" && a.caller == nil) {
		return ""
	}
	_, err := a.call(ctx, &pb.Request{Body: &pb.Request_View{View: &pb.View{Config: bundle}}})
	if err != nil {
		return ""
	}
	return a.Agent
}
