package agent

import (
	"context"
	"time"

	pb "kumquatyard/proto/kumquat/v1"
)

// handleExplain asks the agent's own gateway and then the other known gateways
// until one has entries for the request.
func (a *Agent) handleExplain(ctx context.Context, e *pb.ExplainRequest) (*pb.Response, error) {
	req := &pb.Request{Body: &pb.Request_Explain{Explain: e}}
	var last error
	for _, address := range a.gatewayAddresses() {
		resp, err := a.call(ctx, address, req)
		if err != nil {
			last = err
			continue
		}
		if len(resp.GetExplain().GetLines()) > 0 {
			return resp, nil
		}
	}
	reply := &pb.ExplainReply{RequestId: e.GetRequestId()}
	return &pb.Response{Body: &pb.Response_Explain{Explain: reply}}, last
}

// gatewayAddresses returns the address of the agent's own gateway, followed by
// those of the other known gateways.
func (a *Agent) gatewayAddresses() []string {
	out := []string{a.settings.Gateway}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.table.Members(time.Now()) {
		if m.Role == "gateway" && m.Address != "" && m.Address != a.settings.Gateway {
			out = append(out, m.Address)
		}
	}
	return out
}
