package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"kumquatyard/internal/config"
	"kumquatyard/internal/contract"
	"kumquatyard/internal/prefix"
)

const (
	// defaultMaxTokens applies to requests without max_tokens.
	defaultMaxTokens = 512
	// maxPromptBlocks bounds the prefix hashes computed for one request.
	maxPromptBlocks = 512
)

// chatRequest is a validated request for a model.
type chatRequest struct {
	id         string
	workspace  config.Workspace
	contract   contract.Contract
	model      string
	stream     bool
	deferrable bool
	maxTokens  int
	// body is sent to engines. It always requests a stream, so that an answer
	// can be continued from any token.
	body         []byte
	prefix       []uint64
	promptTokens int
	// deadline is the time by which the first token must arrive.
	deadline time.Time
}

type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
	// ServiceTier is "flex" for deferrable requests.
	ServiceTier string `json:"service_tier"`
}

// flexTier is the service tier of deferrable requests.
const flexTier = "flex"

// parseChatRequest validates body and returns the request that it holds.
func parseChatRequest(body []byte) (*chatRequest, error) {
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, contract.Refusal(contract.KindInvalid, 0, fmt.Sprintf("the body is not a chat completion request: %v", err))
	}
	if parsed.Model == "" || len(parsed.Messages) == 0 {
		return nil, contract.Refusal(contract.KindInvalid, 0, `"model" and "messages" are required`)
	}
	if parsed.MaxTokens < 0 {
		return nil, contract.Refusal(contract.KindInvalid, 0, `"max_tokens" must be positive`)
	}
	var prompt bytes.Buffer
	for _, m := range parsed.Messages {
		prompt.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	r := &chatRequest{
		id:           uuid.NewString(),
		model:        parsed.Model,
		stream:       parsed.Stream,
		deferrable:   parsed.ServiceTier == flexTier,
		maxTokens:    parsed.MaxTokens,
		body:         body,
		promptTokens: prefix.Tokens(prompt.Len()),
	}
	if r.maxTokens == 0 {
		r.maxTokens = defaultMaxTokens
	}
	hashed := prompt.Bytes()[:min(prompt.Len(), maxPromptBlocks*prefix.BlockBytes)]
	r.prefix = prefix.Chain(nil, r.model, hashed)
	if !r.stream {
		return r, r.forceStream()
	}
	return r, nil
}

// setCall sets the workspace, contract and deadline under which the request is
// served.
func (r *chatRequest) setCall(info callInfo) {
	r.workspace, r.contract, r.deadline = info.workspace, info.contract, info.deadline
}

// forceStream sets "stream" to true in the body and keeps all other members.
func (r *chatRequest) forceStream() error {
	members := make(map[string]json.RawMessage)
	if err := json.Unmarshal(r.body, &members); err != nil {
		return contract.Refusal(contract.KindInvalid, 0, err.Error())
	}
	members["stream"] = json.RawMessage("true")
	body, err := json.Marshal(members)
	if err != nil {
		return contract.Refusal(contract.KindInvalid, 0, err.Error())
	}
	r.body = body
	return nil
}
