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
	// defaultMaxTokens is used when a request does not bound its answer.
	defaultMaxTokens = 512
	// maxPromptBlocks bounds the prefix hashes kept for one request.
	maxPromptBlocks = 512
)

// chatRequest is a checked request for a model.
type chatRequest struct {
	id        string
	workspace config.Workspace
	contract  contract.Contract
	model     string
	stream    bool
	mayWait   bool
	maxTokens int
	// body is what engines get; it always asks for a stream, so that an
	// answer can be continued from any token.
	body         []byte
	prefix       []uint64
	promptTokens int
	// deadline is when the first token must have arrived.
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
	// ServiceTier is "flex" for work that may wait.
	ServiceTier string `json:"service_tier"`
}

// flexTier is the service tier of work that may wait.
const flexTier = "flex"

func newChatRequest(body []byte) (*chatRequest, error) {
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
		mayWait:      parsed.ServiceTier == flexTier,
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
		return r, r.askForStream()
	}
	return r, nil
}

// serveAs sets how the request is served.
func (r *chatRequest) serveAs(who caller) {
	r.workspace, r.contract, r.deadline = who.workspace, who.contract, who.deadline
}

// askForStream rewrites the body to ask for a stream and keeps every other member.
func (r *chatRequest) askForStream() error {
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
