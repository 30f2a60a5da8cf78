package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Group runs the stand-ins of one process. Its stand-ins of kind cloud and
// instances work on the engines and services of the same group.
type Group struct {
	settings Settings
	log      *logrus.Entry
	fleet    *Fleet
	serving  conc.WaitGroup

	mu      sync.Mutex
	members map[string]*groupMember
	closed  bool
}

type groupMember struct {
	settings StandinSettings
	standin  Standin
}

// NewGroup returns a Group; Run starts it.
func NewGroup(s Settings, log *logrus.Entry) *Group {
	return &Group{settings: s, log: log, fleet: NewFleet(), members: make(map[string]*groupMember)}
}

// Run serves all stand-ins until ctx is done.
func (g *Group) Run(ctx context.Context) error {
	defer g.serving.Wait()
	defer g.closeAll()
	for _, e := range g.settings.Entries {
		g.fleet.Add(e.instance(), "", false, nil)
	}
	for _, s := range g.settings.Standins {
		if _, err := g.start(s); err != nil {
			return err
		}
	}
	return g.serveControl(ctx)
}

// start builds a stand-in, serves it and returns its address.
func (g *Group) start(s StandinSettings) (string, error) { return g.startReplacing(s, nil) }

// startReplacing starts a stand-in that continues the counts of previous, which
// may be nil.
func (g *Group) startReplacing(s StandinSettings, previous Standin) (string, error) {
	built, err := g.build(s)
	if err != nil {
		return "", fmt.Errorf("build stand-in %s: %w", s.ID, err)
	}
	if h, ok := built.(countRestorer); ok && previous != nil {
		h.restoreCounts(previous)
	}
	built.ChangeFaults(func(f *Faults) { *f = s.Faults })
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		built.Close()
		return "", fmt.Errorf("open listener for stand-in %s: %w", s.ID, err)
	}
	address := l.Addr().String()
	if err := g.register(s, address, built); err != nil {
		built.Close()
		return "", errors.Join(err, l.Close())
	}
	g.log.WithFields(logrus.Fields{"kind": s.Kind, "standin": s.ID, "address": address}).Info("serving")
	g.serving.Go(func() {
		if err := built.Serve(l); err != nil {
			g.log.WithField("standin", s.ID).WithError(err).Error("stand-in stopped serving")
		}
	})
	return address, nil
}

// register adds a stand-in to the group, and a server to the fleet unless a
// Cloud started it.
func (g *Group) register(s StandinSettings, address string, built Standin) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errors.New("the group of stand-ins is closed")
	}
	g.members[s.ID] = &groupMember{settings: s, standin: built}
	if member, ok := built.(Member); ok && isServer(s.Kind) && !strings.HasPrefix(s.ID, startedPrefix) {
		g.fleet.Add(s.instance(address), s.Class, s.Reclaimable, member)
	}
	return nil
}

func isServer(kind string) bool { return kind == KindEngine || kind == KindService }

func (s StandinSettings) instance(address string) Instance {
	return Instance{ID: s.ID, Kind: s.Kind, Address: address, Zone: s.Zone, Role: s.Engine.Role}
}

// engineStarter returns a function that starts engines on free ports with the
// engine settings of cloud.
func (g *Group) engineStarter(cloud StandinSettings) func(string, StartRequest) (Instance, Member, error) {
	return func(id string, r StartRequest) (Instance, Member, error) {
		s := StandinSettings{
			Kind:   KindEngine,
			ID:     id,
			Listen: "127.0.0.1:0",
			Zone:   r.Zone,
			Class:  r.Class,
			Engine: cloud.Engine,
		}
		address, err := g.start(s)
		if err != nil {
			return Instance{}, nil, err
		}
		member, _ := g.member(id).standin.(Member)
		return s.instance(address), member, nil
	}
}

func (g *Group) member(id string) *groupMember {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[id]
}

func (g *Group) closeAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, m := range g.members {
		m.standin.Close()
	}
}

// serveControl serves the control address until ctx is done.
func (g *Group) serveControl(ctx context.Context) error {
	if g.settings.Control == "" {
		<-ctx.Done()
		return nil
	}
	l, err := net.Listen("tcp", g.settings.Control)
	if err != nil {
		return fmt.Errorf("open listener for the control address: %w", err)
	}
	server := &fasthttp.Server{Handler: g.handleControl, NoDefaultServerHeader: true, CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve control address: %w", err)
	}
	return nil
}

func (g *Group) handleControl(ctx *fasthttp.RequestCtx) {
	id, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	if id == "" {
		writeJSON(ctx, g.kinds())
		return
	}
	m := g.member(id)
	switch {
	case m == nil:
		fail(ctx, http.StatusNotFound, "no stand-in %s", id)
	case rest == "_restart":
		g.handleRestart(ctx, m)
	default:
		ctx.URI().SetPath("/" + rest)
		m.standin.Handle(ctx)
	}
}

// kinds returns the stand-ins' kinds by ID.
func (g *Group) kinds() map[string]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	kinds := make(map[string]string, len(g.members))
	for id, m := range g.members {
		kinds[id] = m.settings.Kind
	}
	return kinds
}

// countRestorer is a stand-in whose counts survive a restart.
type countRestorer interface{ restoreCounts(from Standin) }

// handleRestart replaces a stand-in with a new one, which keeps only the
// counts of a countRestorer.
func (g *Group) handleRestart(ctx *fasthttp.RequestCtx, m *groupMember) {
	m.standin.Close()
	address, err := g.startReplacing(m.settings, m.standin)
	if err != nil {
		fail(ctx, http.StatusInternalServerError, "%v", err)
		return
	}
	writeJSON(ctx, address)
}
