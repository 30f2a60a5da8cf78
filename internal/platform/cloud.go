package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"time"

	"kumquatyard/internal/contract"
	"kumquatyard/internal/frame"
	"kumquatyard/internal/httpcall"
)

// ErrNoCapacity means that the cloud refused to start an instance.
var ErrNoCapacity = errors.New("the cloud has no capacity for another instance")

// Instance is an entry of the instance list.
type Instance struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// InstanceList is a client of the instance list, which lags behind the actual set
// of instances.
type InstanceList struct {
	http *httpcall.Client
}

// NewInstanceList returns a client of the instance list at address.
func NewInstanceList(address string, timeout time.Duration) *InstanceList {
	return &InstanceList{http: httpcall.New(address, timeout)}
}

// List returns the current entries of the list.
func (l *InstanceList) List(ctx context.Context) ([]Instance, error) {
	return getList(ctx, l.http, "/v1/instances", func(i Instance) string { return i.ID })
}

// Market is the pricing model of an instance.
type Market string

const (
	// Reclaimable instances are cheap, and the cloud may reclaim them.
	Reclaimable Market = "reclaimable"
	// OnDemand instances run until they are stopped.
	OnDemand Market = "on_demand"
)

// StartRequest requests a new instance. Requests with the same ClientToken start
// at most one.
type StartRequest struct {
	ClientToken string `json:"client_token"`
	Zone        string `json:"zone"`
	Class       string `json:"class"`
	Market      Market `json:"market"`
}

// Started describes an instance that the cloud accepted to start. The instance
// list contains it once it is live.
type Started struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Class  string `json:"class"`
	Market Market `json:"market"`
}

// Notice announces when the cloud reclaims an instance.
type Notice struct {
	ID       string `json:"id"`
	AtUnixMS int64  `json:"at_unix_ms"`
}

// At returns the time at which the instance is stopped.
func (n Notice) At() time.Time { return time.UnixMilli(n.AtUnixMS) }

// Cloud is a client of the cloud API.
type Cloud struct {
	http *httpcall.Client
}

// NewCloud returns a client of the cloud API at address.
func NewCloud(address string, timeout time.Duration) *Cloud {
	return &Cloud{http: httpcall.New(address, timeout)}
}

// Start requests a new instance. It returns ErrNoCapacity if the cloud refuses.
func (c *Cloud) Start(ctx context.Context, r StartRequest) (Started, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Started{}, err
	}
	req := httpcall.Call{Method: http.MethodPost, Path: "/v1/instances", Body: body}
	answer, err := c.http.Do(ctx, req)
	if err != nil {
		return Started{}, err
	}
	if answer.Status == http.StatusServiceUnavailable {
		return Started{}, ErrNoCapacity
	}
	var started Started
	if answer.Status != http.StatusCreated || json.Unmarshal(answer.Body, &started) != nil || started.ID == "" {
		return Started{}, httpcall.UnexpectedStatus(req, answer)
	}
	return started, nil
}

// Stop stops an instance. It succeeds if the instance no longer exists.
func (c *Cloud) Stop(ctx context.Context, id string) error {
	req := httpcall.Call{Method: http.MethodDelete, Path: "/v1/instances/" + url.PathEscape(id)}
	r, err := c.http.Do(ctx, req)
	if err != nil {
		return err
	}
	if r.Status != http.StatusOK && r.Status != http.StatusNotFound {
		return httpcall.UnexpectedStatus(req, r)
	}
	return nil
}

// Notices returns all reclaim notices issued so far.
func (c *Cloud) Notices(ctx context.Context) ([]Notice, error) {
	return getList(ctx, c.http, "/v1/notices", func(n Notice) string { return n.ID })
}

// WeightStore is a client of the model weight store.
type WeightStore struct {
	http *httpcall.Client
}

// NewWeightStore returns a client of the store at address. The store is
// rate-limited, so timeout bounds a whole download.
func NewWeightStore(address string, timeout time.Duration) *WeightStore {
	return &WeightStore{http: httpcall.New(address, timeout)}
}

// Fetch returns the weights of a model. Nothing in them shows their end, so that the answer has to
// have a frame.
func (w *WeightStore) Fetch(ctx context.Context, name string) ([]byte, error) {
	req := httpcall.Call{Method: http.MethodGet, Path: "/v1/weights/" + url.PathEscape(name)}
	r, err := w.http.Do(ctx, req)
	if err != nil {
		return nil, err
	}
	if r.Status != http.StatusOK {
		return nil, httpcall.UnexpectedStatus(req, r)
	}
	if r.Framing == frame.Close {
		return nil, contract.Unavailable(contract.MayHaveRun, "fetch the weights of "+name, &frame.CutError{Cause: frame.Loss})
	}
	return r.Body, nil
}

// getList returns the list that answers a GET of path. One that is missing, or that has entries
// without an id, is an error.
func getList[T any](ctx context.Context, client *httpcall.Client, path string, id func(T) string) ([]T, error) {
	req := httpcall.Call{Method: http.MethodGet, Path: path}
	r, err := client.Do(ctx, req)
	if err != nil {
		return nil, err
	}
	var list []T
	if r.Status != http.StatusOK || json.Unmarshal(r.Body, &list) != nil || list == nil {
		return nil, httpcall.UnexpectedStatus(req, r)
	}
	if slices.ContainsFunc(list, func(entry T) bool { return id(entry) == "" }) {
		return nil, httpcall.UnexpectedStatus(req, r)
	}
	return list, nil
}
