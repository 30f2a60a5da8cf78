package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/prefix"
)

// Mix describes the size of a deployment and its traffic: conversations whose
// prompts grow from turn to turn.
type Mix struct {
	Name    string
	Servers int
	Slots   int
	// CacheBlocks is the size of a server's prefix cache.
	CacheBlocks int
	Classes     []ConversationClass
	// WorkspaceShares are the workspaces' shares of the conversations.
	WorkspaceShares []float64
}

// ConversationClass is a class of conversations.
type ConversationClass struct {
	Name string
	// Share is the fraction of the conversations in this class.
	Share    float64
	Priority contract.Priority
	// A prompt begins with SharedBlocks blocks common to its workspace, followed by
	// TopicBlocks blocks of one of the workspace's Topics documents and UniqueBlocks
	// blocks of the conversation's own.
	SharedBlocks, TopicBlocks, Topics, UniqueBlocks int
	// Turns is the maximum number of turns. Each turn adds BlocksPerTurn blocks.
	Turns, BlocksPerTurn int
	// ThinkTime is the mean time between turns.
	ThinkTime    time.Duration
	OutputTokens int
	// Deadline bounds the time to the first token.
	Deadline time.Duration
}

// Lanternfold returns the mix of a deployment that drafts long guides from house
// notes and answers short questions.
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

// Matrizeria returns the mix of a deployment that revises long drawings with
// their correction histories and answers short questions at the press.
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

// setSharedBlocks sets the SharedBlocks of all classes to n, unless n is 0.
func (x *Mix) setSharedBlocks(n int) {
	if n == 0 {
		return
	}
	x.Classes = slices.Clone(x.Classes)
	for i := range x.Classes {
		x.Classes[i].SharedBlocks = n
	}
}

// conversation is one conversation of a class.
type conversation struct {
	class     *ConversationClass
	workspace int
	chain     []uint64
	turns     int
	id        uint64
	random    *rand.Rand
}

// Exponent and offset of the Zipf distribution of topic popularity.
const (
	zipfS = 1.1
	zipfV = 4
)

// newConversation returns a conversation with its first prompt. Each conversation
// has its own random number stream, so that all policies see the same
// conversations.
func (m *Model) newConversation() *conversation {
	m.conversations++
	c := &conversation{id: m.conversations, random: rand.New(rand.NewPCG(m.Seed, m.conversations))}
	c.class = m.mix.pickClass(c.random.Float64())
	c.workspace = m.mix.pickWorkspace(c.random.Float64())
	c.turns = 1 + c.random.IntN(c.class.Turns)
	topic := rand.NewZipf(c.random, zipfS, zipfV, uint64(c.class.Topics-1)).Uint64()
	c.extend(c.class.SharedBlocks, uint64(c.workspace))
	c.extend(c.class.TopicBlocks, uint64(c.workspace)<<32|topic<<1|1)
	c.extend(c.class.UniqueBlocks, c.id<<20)
	return c
}

// extend appends n blocks. Their hashes depend on the content and on the last
// block of the chain.
func (c *conversation) extend(n int, content uint64) {
	previous := content
	if len(c.chain) > 0 {
		previous = c.chain[len(c.chain)-1]
	}
	for range n {
		previous = splitMix64(previous ^ splitMix64(content))
		c.chain = append(c.chain, previous)
	}
}

// splitMix64 returns the next output of SplitMix64 from state z.
func splitMix64(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (x *Mix) pickClass(draw float64) *ConversationClass {
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

// promptTokens returns the prompt length of a chain. It counts half a block more
// for a partial last block.
func promptTokens(chain []uint64) int {
	return len(chain)*prefix.BlockTokens + prefix.BlockTokens/2
}

// saturation returns the estimated number of requests per second at which all
// servers are busy, if half of each prompt is cached.
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

// meanTurns returns the mean number of requests per conversation.
func (x *Mix) meanTurns() float64 {
	sum := 0.0
	for _, k := range x.Classes {
		sum += k.Share * float64(k.Turns+1) / 2
	}
	return sum
}
