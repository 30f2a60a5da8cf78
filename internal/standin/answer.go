package standin

import (
	"encoding/json"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds words whose characters take one to three bytes in UTF-8.
var vocabulary = strings.Fields(
	"die press billet profile groove ram kumquat evening guide venue house note group " +
		"über niño café Straße straw año 図面 押出 改訂 金型 €5 naïve – … ok a the of to in")

const defaultMaxTokens = 256

// Answer returns the tokens that an engine generates for a prompt. It depends
// only on its arguments, so that a checker can verify every byte. The answer
// has between half of maxTokens and maxTokens tokens.
func Answer(model, prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	seed := xxhash.Sum64String(prompt)
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(model)))
	tokens := make([]string, maxTokens-rng.IntN(maxTokens/2+1))
	for i := range tokens {
		tokens[i] = " " + vocabulary[rng.IntN(len(vocabulary))]
	}
	return tokens
}

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest holds the fields of an OpenAI chat request that an engine reads.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Prompt returns the prompt text, whose prefixes an engine caches.
func (r *ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// ChatChunk is one event of a streamed response.
type ChatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	// Offset is the index of the token in the answer.
	Offset int `json:"offset"`
	// PromptTokens and CachedTokens are set only in the first chunk of a response.
	PromptTokens *int `json:"prompt_tokens,omitempty"`
	CachedTokens *int `json:"cached_tokens,omitempty"`
}

// ChatChoice is the only choice of a chunk.
type ChatChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatCompletion is a response that is not streamed.
type ChatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is the only choice of a completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

func decodeChat(body []byte) (*ChatRequest, error) {
	var r ChatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	return &r, nil
}
