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
	// Lifecycle is what the server says of itself.
	Lifecycle atomic.Value
	// Down servers answer with status 500.
	Down  atomic.Bool
	polls atomic.Uint64
}

// Servers are all backend servers of a fleet.
type Servers struct {
	Traffic link.Traffic
	// Polls counts the answers.
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

// Get returns the server with the given id.
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

// CountListener counts the bytes of the connections that l accepts.
func CountListener(l net.Listener, traffic *link.Traffic) net.Listener {
	return &countedListener{Listener: l, traffic: traffic}
}

type countedListener struct {
	net.Listener
	traffic *link.Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *link.Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// Gateways take the views of all agents at one address.
type Gateways struct {
	address string

	mu    sync.Mutex
	known map[string]*GatewayView
}

// GatewayView is what one agent's gateway was told.
type GatewayView struct {
	Config  uint64
	Servers map[string]*pb.ServerState
	Peers   []*pb.Peer
	Zones   []*pb.ZoneSummary
	// Refuse makes the gateway answer the next views with an error.
	Refuse   bool
	Sequence uint64
}

func (f *Fleet) startGateways() (*Gateways, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Gateways{address: listener.Addr().String(), known: map[string]*GatewayView{}}
	settings := f.linkSettings("gateway", g.address, nil)
	f.running.Go(func() { _ = link.ServeListener(f.ctx, listener, settings, link.HandlerFunc(g.handle), f.log) })
	return g, nil
}

func (g *Gateways) handle(_ context.Context, _ string, req *pb.Request) (*pb.Response, error) {
	view := req.GetView()
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.known[view.GetPeers()[0].GetId()]
	if !ok {
		known = &GatewayView{Servers: map[string]*pb.ServerState{}}
		g.known[view.GetPeers()[0].GetId()] = known
	}
	if known.Refuse || (!view.GetFull() && view.GetSequence() != known.Sequence+1) {
		return nil, errCut
	}
	if view.GetFull() {
		clear(known.Servers)
	}
	known.Sequence = view.GetSequence()
	known.Config = max(known.Config, view.GetConfig().GetVersion())
	known.Peers, known.Zones = view.GetPeers(), view.GetZones()
	for _, s := range view.GetServers() {
		known.Servers[s.GetId()] = s
	}
	return &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}, nil
}

// Read calls read with what the gateway of node knows.
func (g *Gateways) Read(node *Node, read func(*GatewayView) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.known[node.ID]
	return ok && read(known)
}
