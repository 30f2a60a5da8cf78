package fleet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"kumquatyard/internal/link"
	pb "kumquatyard/proto/kumquat/v1"
)

// Server is a backend server that only reports its state.
type Server struct {
	ID, Address string
	// Lifecycle is the lifecycle that the server reports, a string.
	Lifecycle atomic.Value
	// Down makes the server answer with status 500.
	Down  atomic.Bool
	polls atomic.Uint64
}

// Servers holds all backend servers of a fleet.
type Servers struct {
	Traffic link.Traffic
	// Polls counts the requests to all servers.
	Polls atomic.Int64

	options Options
	byID    map[string]*Server
	byPort  map[string]*Server
	http    *fasthttp.Server
	running conc.WaitGroup
}

func startServers(o Options) (*Servers, error) {
	s := &Servers{options: o, byID: map[string]*Server{}, byPort: map[string]*Server{}}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true}
	var listeners []net.Listener
	for i := range o.Zones {
		for j := range o.ServersPerZone {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			server := &Server{ID: ServerName(i, j), Address: listener.Addr().String()}
			server.Lifecycle.Store("serving")
			s.byID[server.ID], s.byPort[server.Address] = server, server
			listeners = append(listeners, CountListener(listener, &s.Traffic))
		}
	}
	for _, listener := range listeners {
		s.running.Go(func() { _ = s.http.Serve(listener) })
	}
	return s, nil
}

func (s *Servers) address(zone, j int) string { return s.byID[ServerName(zone, j)].Address }

// Get returns the server with the given ID, or nil.
func (s *Servers) Get(id string) *Server { return s.byID[id] }

func (s *Servers) stop() {
	_ = s.http.Shutdown()
	s.running.Wait()
}

func (s *Servers) handle(ctx *fasthttp.RequestCtx) {
	server := s.byPort[ctx.LocalAddr().String()]
	s.Polls.Add(1)
	if server.Down.Load() {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	if string(ctx.Path()) == "/v1/cache/events" {
		ctx.SetBodyString(s.cacheEvents(ctx))
		return
	}
	load := uint64(7)
	if !s.options.ConstantLoad {
		load = xxhash.Sum64String(server.ID + strconv.FormatUint(server.polls.Add(1), 10))
	}
	ctx.SetBodyString(fmt.Sprintf(`{"incarnation":1800000000000,"lifecycle":%q,"reclaim_at_unix_ms":0,"running":%d,"queued":%d,`+
		`"queued_tokens":%d,"slots":32,"tokens_per_second":%d,"adapters":["base-70b-v3","adapter-pt-0007"],"role":"mixed","fence":12,`+
		`"measured_at_unix_ms":%d}`, server.Lifecycle.Load(), load%32, load>>8%16, load>>16%60000, 500+load>>32%400, time.Now().UnixMilli()))
}

func (s *Servers) cacheEvents(ctx *fasthttp.RequestCtx) string {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if s.options.HashesPerPoll == 0 {
		return fmt.Sprintf(`{"first":%d,"last":%d,"events":[]}`, after+1, after)
	}
	added := ""
	for i := range s.options.HashesPerPoll {
		added += fmt.Sprintf(`"%016x",`, xxhash.Sum64String(strconv.FormatUint(after*1000+uint64(i), 10)))
	}
	return fmt.Sprintf(`{"first":%d,"last":%d,"events":[{"seq":%d,"added":[%s],"removed":[]}]}`,
		after+1, after+1, after+1, added[:len(added)-1])
}

// CountListener returns a listener that adds the bytes of the connections it
// accepts from l to traffic.
func CountListener(l net.Listener, traffic *link.Traffic) net.Listener {
	return &countingListener{Listener: l, traffic: traffic}
}

type countingListener struct {
	net.Listener
	traffic *link.Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *link.Traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// Gateways stands in for the gateways of all agents. It receives their views at
// one address and keeps them apart by agent.
type Gateways struct {
	address string

	mu    sync.Mutex
	views map[string]*GatewayView
}

// GatewayView is the state that one agent's gateway has received.
type GatewayView struct {
	Config  uint64
	Servers map[string]*pb.ServerState
	Peers   []*pb.Peer
	Zones   []*pb.ZoneSummary
	// Refuse makes the gateway answer views with an error while it is set.
	Refuse bool
	// Sequence is the sequence number of the last accepted view.
	Sequence uint64
}

func (f *Fleet) startGateways() (*Gateways, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Gateways{address: listener.Addr().String(), views: map[string]*GatewayView{}}
	settings := f.linkSettings("gateway", g.address, nil)
	f.running.Go(func() { _ = link.ServeListener(f.ctx, listener, settings, link.HandlerFunc(g.handle), f.log) })
	return g, nil
}

func (g *Gateways) handle(_ context.Context, _ string, req *pb.Request) (*pb.Response, error) {
	view := req.GetView()
	g.mu.Lock()
	defer g.mu.Unlock()
	current, ok := g.views[view.GetPeers()[0].GetId()]
	if !ok {
		current = &GatewayView{Servers: map[string]*pb.ServerState{}}
		g.views[view.GetPeers()[0].GetId()] = current
	}
	if current.Refuse || (!view.GetFull() && view.GetSequence() != current.Sequence+1) {
		return nil, errInjected
	}
	if view.GetFull() {
		clear(current.Servers)
	}
	current.Sequence = view.GetSequence()
	current.Config = max(current.Config, view.GetConfig().GetVersion())
	current.Peers, current.Zones = view.GetPeers(), view.GetZones()
	for _, s := range view.GetServers() {
		current.Servers[s.GetId()] = s
	}
	return &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}, nil
}

// Read calls read with the state of node's gateway and returns its result. It
// returns false if the gateway has received no view.
func (g *Gateways) Read(node *Node, read func(*GatewayView) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, ok := g.views[node.ID]
	return ok && read(current)
}
