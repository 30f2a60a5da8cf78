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
	// startedPrefix is the ID prefix of the instances that a Cloud starts.
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

// StartAnswer is the response to POST /v1/instances.
type StartAnswer struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Class  string `json:"class"`
	Market string `json:"market"`
}

// CloudOptions configure a Cloud.
type CloudOptions struct {
	Seed uint64
	// StartTime is the time from accepting an instance until it is live.
	StartTime time.Duration
	// Capacity limits the started instances that exist at once; 0 means no
	// limit.
	Capacity int
	// Start starts the server of a new instance.
	Start func(id string, r StartRequest) (Instance, Member, error)
}

// Cloud is a stand-in for the cloud API. POST /_reclaim {"zone","id","in_ms"}
// reclaims instances.
type Cloud struct {
	*Endpoint
	fleet   *Fleet
	options CloudOptions

	mu      sync.Mutex
	byToken map[string]StartAnswer
	started int
	// pending holds the IDs of accepted instances that are not live yet.
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

// start accepts a new instance, or returns the one started earlier with the
// same client token. It reports false if there is no capacity.
func (c *Cloud) start(r StartRequest) (StartAnswer, bool) {
	f := c.Faults()
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.byToken[r.ClientToken]; ok {
		return answer, true
	}
	used := len(c.pending) + c.fleet.count(startedPrefix)
	if f.RefuseStarts || (c.options.Capacity > 0 && used >= c.options.Capacity) {
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

// launch starts the server of an accepted instance, unless the instance was
// stopped before it became live.
func (c *Cloud) launch(id string, r StartRequest) {
	c.mu.Lock()
	isPending := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if !isPending || c.options.Start == nil || c.isClosed() {
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

// Instances is a stand-in for the instance list, which lags by Faults.LagMS.
type Instances struct {
	*Endpoint
	fleet *Fleet
}

// NewInstances returns an instance list of fleet.
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
