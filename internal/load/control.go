package load

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/valyala/fasthttp"

	"kumquatyard/internal/standin"
)

const controlTimeout = 10 * time.Second

// control reads the counters of the stand-ins behind a target and applies events
// to them.
type control struct {
	address string
	client  fasthttp.Client
}

func newControl(address string) *control { return &control{address: address} }

// groundTruth holds the runs, tokens and calls counted by a target's stand-ins.
type groundTruth struct {
	Services standin.Runs
	Engines  standin.Runs
	Tokens   standin.EngineCounts
	KV       standin.KVCounts
}

func (c *control) get(path string, out any) (status int, err error) {
	return c.do(fasthttp.MethodGet, path, nil, out)
}

func (c *control) do(method, path string, in, out any) (status int, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.SetMethod(method)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		req.SetBodyRaw(body)
	}
	if err := c.client.DoTimeout(req, resp, controlTimeout); err != nil {
		return 0, fmt.Errorf("call the stand-ins' control address for %s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK || out == nil {
		return resp.StatusCode(), nil
	}
	return resp.StatusCode(), json.Unmarshal(resp.Body(), out)
}

// ids returns the kind of each stand-in by id.
func (c *control) ids() (map[string]string, error) {
	var kinds map[string]string
	_, err := c.get("/", &kinds)
	return kinds, err
}

// read returns the counters of all stand-ins.
func (c *control) read() (groundTruth, error) {
	t := groundTruth{
		Services: standin.Runs{ByRequest: make(map[string]int), ByKey: make(map[string]int)},
		Engines:  standin.Runs{ByRequest: make(map[string]int)},
	}
	kinds, err := c.ids()
	if err != nil {
		return t, err
	}
	for id, kind := range kinds {
		if err := c.addCounts(&t, id, kind); err != nil {
			return t, err
		}
	}
	return t, nil
}

// addCounts adds the counters of a stand-in to t.
func (c *control) addCounts(t *groundTruth, id, kind string) error {
	switch kind {
	case standin.KindService:
		var runs standin.Runs
		_, err := c.get("/"+id+"/_runs", &runs)
		addRuns(t.Services.ByKey, runs.ByKey)
		addRuns(t.Services.ByRequest, runs.ByRequest)
		return err
	case standin.KindEngine:
		var counts standin.EngineCounts
		_, err := c.get("/"+id+"/_counts", &counts)
		t.addTokens(counts)
		addRuns(t.Engines.ByRequest, counts.Runs)
		return err
	case standin.KindKV:
		var counts standin.KVCounts
		_, err := c.get("/"+id+"/_counts", &counts)
		t.KV.Reads += counts.Reads
		t.KV.Writes += counts.Writes
		t.KV.Waiting += counts.Waiting
		return err
	default:
		return nil
	}
}

func addRuns(to, from map[string]int) {
	for id, n := range from {
		to[id] += n
	}
}

// since returns t with the tokens, KV calls and engine runs of before subtracted.
// Service runs stay cumulative, because keys are unique to a round.
func (t groundTruth) since(before groundTruth) groundTruth {
	t.Tokens.TokensGenerated -= before.Tokens.TokensGenerated
	t.Tokens.PromptTokensComputed -= before.Tokens.PromptTokensComputed
	t.Tokens.PromptTokensReused -= before.Tokens.PromptTokensReused
	t.Tokens.TokensRecomputed -= before.Tokens.TokensRecomputed
	t.Tokens.PromptTokensRecomputed -= before.Tokens.PromptTokensRecomputed
	t.KV.Reads -= before.KV.Reads
	t.KV.Writes -= before.KV.Writes
	t.Engines = standin.Runs{ByRequest: maps.Clone(t.Engines.ByRequest)}
	for id, n := range before.Engines.ByRequest {
		t.Engines.ByRequest[id] -= n
	}
	return t
}

// accumulate adds the tokens and KV calls of another round.
func (t *groundTruth) accumulate(other groundTruth) {
	t.addTokens(other.Tokens)
	t.KV.Reads += other.KV.Reads
	t.KV.Writes += other.KV.Writes
	t.KV.Waiting = other.KV.Waiting
}

func (t *groundTruth) addTokens(counts standin.EngineCounts) {
	t.Tokens.TokensGenerated += counts.TokensGenerated
	t.Tokens.PromptTokensComputed += counts.PromptTokensComputed
	t.Tokens.PromptTokensReused += counts.PromptTokensReused
	t.Tokens.TokensRecomputed += counts.TokensRecomputed
	t.Tokens.PromptTokensRecomputed += counts.PromptTokensRecomputed
}

// apply applies an event to its stand-in, or to all for "*".
func (c *control) apply(e Event) error {
	ids := map[string]string{e.Standin: ""}
	if e.Standin == "*" {
		var err error
		if ids, err = c.ids(); err != nil {
			return err
		}
	}
	for id := range ids {
		if err := c.applyTo(id, e); err != nil {
			return err
		}
	}
	return nil
}

func (c *control) applyTo(id string, e Event) error {
	if e.Faults != nil {
		if err := c.post("/"+id+"/_faults", e.Faults); err != nil {
			return err
		}
	}
	if e.Reclaim != nil {
		if err := c.post("/"+id+"/_reclaim", e.Reclaim); err != nil {
			return err
		}
	}
	if e.Restart {
		return c.post("/"+id+"/_restart", nil)
	}
	return nil
}

func (c *control) post(path string, body any) error {
	status, err := c.do(fasthttp.MethodPost, path, body, nil)
	if err == nil && status != fasthttp.StatusOK {
		return fmt.Errorf("call the stand-ins' control address for %s: got status %d, want 200", path, status)
	}
	return err
}
