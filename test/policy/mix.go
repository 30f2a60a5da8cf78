package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/prefix"
)

// Mix is a deployment's traffic: conversations whose prompts grow by turn.
type Mix struct {
	Name    string
	Servers int
	Slots   int
	// CacheBlocks is the size of a server's prefix cache.
	CacheBlocks int
	Classes     []ConversationClass
	// WorkspaceShares are the shares of the traffic.
	WorkspaceShares []float64
}

// ConversationClass is a kind of conversation.
type ConversationClass struct {
	Name string
	// Share of the conversations.
	Share    float64
	Priority contract.Priority
	// SharedBlocks blocks open every prompt of a workspace; TopicBlocks blocks are those of
	// one of Topics documents; UniqueBlocks blocks are new with each conversation.
	SharedBlocks, TopicBlocks, Topics, UniqueBlocks int
	// Turns is the largest number of turns, each of which adds BlocksPerTurn blocks.
	Turns, BlocksPerTurn int
	// ThinkTime is the mean time between turns.
	ThinkTime    time.Duration
	OutputTokens int
	// Deadline bounds the time to the first token.
	Deadline time.Duration
}

// Lanternfold drafts long guides from house notes and answers short questions.
func Lanternfold() Mix {
	return Mix{
		Name: "lanternfold", Servers: 10, Slots: 16, CacheBlocks: 2000,
		WorkspaceShares: []float64{0.5, 0.25, 0.15, 0.07, 0.03},
		Classes: []ConversationClass{
			{
				Name: "guide", Share: 0.3, Priority: contract.Deferrable, SharedBlocks: 8, TopicBlocks: 48, Topics: 200, UniqueBlocks: 6,
				Turns: 4, BlocksPerTurn: 12, ThinkTime: 20 * time.Second, OutputTokens: 700, Deadline: time.Minute,
			},
			{
				Name: "question", Share: 0.7, Priority: contract.Interactive, SharedBlocks: 8, TopicBlocks: 8, Topics: 200, UniqueBlocks: 1,
				Turns: 4, BlocksPerTurn: 2, ThinkTime: 8 * time.Second, OutputTokens: 100, Deadline: 4 * time.Second,
			},
		},
	}
}

// Matrizeria revises long drawings with their correction histories and answers
// quick questions at the press.
func Matrizeria() Mix {
	return Mix{
		Name: "matrizeria", Servers: 20, Slots: 16, CacheBlocks: 2000,
		WorkspaceShares: []float64{0.45, 0.3, 0.15, 0.07, 0.03},
		Classes: []ConversationClass{
			{
				Name: "drawing", Share: 0.35, Priority: contract.Deferrable, SharedBlocks: 6, TopicBlocks: 0, Topics: 1, UniqueBlocks: 96,
				Turns: 8, BlocksPerTurn: 16, ThinkTime: 15 * time.Second, OutputTokens: 600, Deadline: time.Minute,
			},
			{
				Name: "press", Share: 0.65, Priority: contract.Interactive, SharedBlocks: 6, TopicBlocks: 16, Topics: 400, UniqueBlocks: 1,
				Turns: 2, BlocksPerTurn: 2, ThinkTime: 6 * time.Second, OutputTokens: 80, Deadline: 4 * time.Second,
			},
		},
	}
}

// share sets the blocks that open every prompt of a workspace, unless n is 0.
func (x *Mix) share(n int) {
	if n == 0 {
		return
	}
	x.Classes = slices.Clone(x.Classes)
	for i := range x.Classes {
		x.Classes[i].SharedBlocks = n
	}
}

// conversation is one run of a kind.
type conversation struct {
	kind      *ConversationClass
	workspace int
	chain     []uint64
	turns     int
	id        uint64
	random    *rand.Rand
}

// zipf exponent and offset of the popularity of topics.
const (
	zipfS = 1.1
	zipfV = 4
)

// newConversation draws everything about a conversation from a stream of its
// own, so that each policy sees the same conversations.
func (m *Model) newConversation() *conversation {
	m.conversations++
	c := &conversation{id: m.conversations, random: rand.New(rand.NewPCG(m.Seed, m.conversations))}
	c.kind = m.mix.pickKind(c.random.Float64())
	c.workspace = m.mix.pickWorkspace(c.random.Float64())
	c.turns = 1 + c.random.IntN(c.kind.Turns)
	topic := rand.NewZipf(c.random, zipfS, zipfV, uint64(c.kind.Topics-1)).Uint64()
	c.extend(c.kind.SharedBlocks, uint64(c.workspace))
	c.extend(c.kind.TopicBlocks, uint64(c.workspace)<<32|topic<<1|1)
	c.extend(c.kind.UniqueBlocks, c.id<<20)
	return c
}

// extend appends n blocks whose hashes follow from the chain and the content.
func (c *conversation) extend(n int, content uint64) {
	previous := content
	if len(c.chain) > 0 {
		previous = c.chain[len(c.chain)-1]
	}
	for range n {
		previous = scramble(previous ^ scramble(content))
		c.chain = append(c.chain, previous)
	}
}

// scramble is the finalizer of SplitMix64.
func scramble(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (x *Mix) pickKind(draw float64) *ConversationClass {
	for i := range x.Classes {
		draw -= x.Classes[i].Share
		if draw < 0 {
			return &x.Classes[i]
		}
	}
	return &x.Classes[0]
}

func (x *Mix) pickWorkspace(draw float64) int {
	for i, share := range x.WorkspaceShares {
		draw -= share
		if draw < 0 {
			return i
		}
	}
	return 0
}

// promptTokens of a chain, with a partial last block.
func promptTokens(chain []uint64) int {
	return len(chain)*prefix.BlockTokens + prefix.BlockTokens/2
}

// saturation estimates the requests a second at which the servers are busy,
// with half of the prompts cached.
func (x *Mix) saturation() float64 {
	var share, slotSeconds, prefillSeconds float64
	step := (tokenTime + batchTime).Seconds()
	for _, k := range x.Classes {
		turns := float64(k.Turns+1) / 2
		blocks := float64(k.SharedBlocks+k.TopicBlocks+k.UniqueBlocks) + float64(k.BlocksPerTurn)*(turns-1)/2
		prefill := blocks * prefix.BlockTokens / 2 / prefillRate
		share += k.Share * turns
		prefillSeconds += k.Share * turns * prefill
		slotSeconds += k.Share * turns * (float64(k.OutputTokens)*step + prefill)
	}
	bySlots := float64(x.Servers*x.Slots) / (slotSeconds / share)
	byPrefill := float64(x.Servers) / (prefillSeconds / share)
	return min(bySlots, byPrefill)
}

// meanTurns is the mean number of requests of a conversation.
func (x *Mix) meanTurns() float64 {
	sum := 0.0
	for _, k := range x.Classes {
		sum += k.Share * float64(k.Turns+1) / 2
	}
	return sum
}
