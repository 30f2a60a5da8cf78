package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	instancesPath = "/v1/instances"
	// startedPrefix begins the ids of the instances that a Cloud started.
	startedPrefix = "started-"
)

// StartRequest is the body of POST /v1/instances.
type StartRequest struct {
	ClientToken string `json:"client_token"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	// Market is "reclaimable" or "on_demand".
	Market string `json:"market"`
}

// StartAnswer is the answer of POST /v1/instances.
type StartAnswer struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Class  string `json:"class"`
	Market string `json:"market"`
}

// CloudOptions configure a Cloud.
type CloudOptions struct {
	Seed uint64
	// StartTime is how long an accepted instance takes to become live.
	StartTime time.Duration
	// Capacity bounds the instances that the cloud starts; 0 does not.
	Capacity int
	// Start starts the server of a new instance.
	Start func(id string, r StartRequest) (Instance, Member, error)
}

// Cloud is a stand-in of the cloud API. POST /_reclaim {"zone","id","in_ms"}
// takes instances back.
type Cloud struct {
	*Endpoint
	fleet   *Fleet
	options CloudOptions

	mu      sync.Mutex
	byToken map[string]StartAnswer
	started int
	// pending are accepted instances that are not live yet.
	pending map[string]bool
}

// NewCloud returns a Cloud that starts and reclaims instances of fleet.
func NewCloud(fleet *Fleet, o CloudOptions) *Cloud {
	c := &Cloud{fleet: fleet, options: o, byToken: make(map[string]StartAnswer), pending: make(map[string]bool)}
	c.Endpoint = newEndpoint(o.Seed, c.handle)
	return c
}

func (c *Cloud) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/_reclaim":
		c.handleReclaim(ctx)
	case path == "/v1/notices":
		writeJSON(ctx, c.fleet.Notices())
	case path == instancesPath && ctx.IsPost():
		c.handleStart(ctx)
	case strings.HasPrefix(path, instancesPath+"/") && ctx.IsDelete():
		c.handleStop(ctx, path[len(instancesPath)+1:])
	default:
		fail(ctx, http.StatusNotFound, "unknown call %s %s", ctx.Method(), path)
	}
}

func (c *Cloud) handleReclaim(ctx *fasthttp.RequestCtx) {
	var r struct {
		Zone string `json:"zone"`
		ID   string `json:"id"`
		InMS int64  `json:"in_ms"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		fail(ctx, http.StatusBadRequest, "%v", err)
		return
	}
	writeJSON(ctx, c.fleet.Reclaim(r.Zone, r.ID, time.Duration(r.InMS)*time.Millisecond))
}

func (c *Cloud) handleStart(ctx *fasthttp.RequestCtx) {
	var r StartRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.ClientToken == "" {
		fail(ctx, http.StatusBadRequest, "malformed request")
		return
	}
	answer, ok := c.start(r)
	if !ok {
		refuse(ctx, http.StatusServiceUnavailable, "insufficient capacity")
		return
	}
	writeJSON(ctx, answer)
	ctx.SetStatusCode(http.StatusCreated)
}

// start accepts an instance, or answers the one that the token started.
func (c *Cloud) start(r StartRequest) (StartAnswer, bool) {
	f := c.Faults()
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.byToken[r.ClientToken]; ok {
		return answer, true
	}
	taken := len(c.pending) + c.fleet.count(startedPrefix)
	if f.RefuseStarts || (c.options.Capacity > 0 && taken >= c.options.Capacity) {
		return StartAnswer{}, false
	}
	c.started++
	answer := StartAnswer{ID: fmt.Sprintf("%s%d", startedPrefix, c.started), Zone: r.Zone, Class: r.Class, Market: r.Market}
	c.byToken[r.ClientToken] = answer
	c.pending[answer.ID] = true
	delay := c.options.StartTime + time.Duration(f.LateStartMS)*time.Millisecond
	time.AfterFunc(delay, func() { c.launch(answer.ID, r) })
	return answer, true
}

// launch runs the server of an accepted instance, unless it was given back.
func (c *Cloud) launch(id string, r StartRequest) {
	c.mu.Lock()
	wanted := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if !wanted || c.options.Start == nil || c.isClosed() {
		return
	}
	instance, member, err := c.options.Start(id, r)
	if err != nil {
		return
	}
	c.fleet.Add(instance, r.Class, r.Market == "reclaimable", member)
}

func (c *Cloud) handleStop(ctx *fasthttp.RequestCtx, id string) {
	c.mu.Lock()
	pending := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if !pending && !c.fleet.Remove(id) {
		fail(ctx, http.StatusNotFound, "no instance %s", id)
	}
}

// Instances is a stand-in of the instance list, which lags by the faults' lag.
type Instances struct {
	*Endpoint
	fleet *Fleet
}

// NewInstances returns the list of fleet.
func NewInstances(fleet *Fleet, seed uint64) *Instances {
	i := &Instances{fleet: fleet}
	i.Endpoint = newEndpoint(seed, i.handle)
	return i
}

func (i *Instances) handle(ctx *fasthttp.RequestCtx) {
	if path := string(ctx.Path()); path != instancesPath {
		fail(ctx, http.StatusNotFound, "unknown path %s", path)
		return
	}
	writeJSON(ctx, i.fleet.List(i.Faults().lag()))
}
