package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"kumquatyard/internal/link"
	pb "kumquatyard/proto/kumquat/v1"
)

// linkPair is a link pool and the servers that it calls.
type linkPair struct {
	pool    *link.Pool
	traffic link.Traffic
	keyDir  string
	log     *logrus.Entry
	running conc.WaitGroup
	cancel  context.CancelFunc
	ctx     context.Context
}

func newLinkPair() (*linkPair, error) {
	keyDir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	if err := link.WriteDevelopmentKeys(keyDir, []string{"agent"}, time.Now()); err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := &linkPair{keyDir: keyDir, log: logrus.NewEntry(logger)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.pool, err = link.NewPool(p.settings(&p.traffic), p.log)
	return p, err
}

func (p *linkPair) settings(traffic *link.Traffic) link.Settings {
	return link.Settings{
		CertFile: filepath.Join(p.keyDir, "agent.pem"), KeyFile: filepath.Join(p.keyDir, "agent-key.pem"),
		CAFile: filepath.Join(p.keyDir, "ca.pem"), Traffic: traffic,
	}
}

// serve starts a server with the given handler and returns its address.
func (p *linkPair) serve(h link.HandlerFunc) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.running.Go(func() { _ = link.ServeListener(p.ctx, listener, p.settings(nil), h, p.log) })
	return listener.Addr().String(), nil
}

func (p *linkPair) stop() {
	p.pool.Close()
	p.cancel()
	p.running.Wait()
	_ = os.RemoveAll(p.keyDir)
}

// acknowledge is a handler that answers every request with an Ack.
func acknowledge(context.Context, string, *pb.Request) (*pb.Response, error) {
	return &pb.Response{Body: &pb.Response_Ack{Ack: &pb.Ack{}}}, nil
}

// sessionsSweep measures several numbers of idle sessions. Both ends are in this
// process.
func sessionsSweep(out io.Writer) error {
	memory := &series{name: "session: memory of both ends", unit: "KiB", per: "session"}
	sent := &series{name: "session: heartbeats sent when idle", unit: "B/s", per: "session"}
	core := &series{name: "session: CPU of both ends when idle", unit: "% core", per: "session"}
	for _, sessions := range []int{50, 100, 200, 400} {
		if err := measureSessions(sessions, memory, sent, core); err != nil {
			return err
		}
	}
	writeFits(out, memory, sent, core)
	return nil
}

func measureSessions(sessions int, memory, sent, core *series) error {
	p, err := newLinkPair()
	if err != nil {
		return err
	}
	defer p.stop()
	base := liveBytes()
	status := &pb.Request{Body: &pb.Request_Status{Status: &pb.StatusRequest{}}}
	for range sessions {
		address, err := p.serve(acknowledge)
		if err != nil {
			return err
		}
		if _, err := p.pool.Call(p.ctx, address, status); err != nil {
			return err
		}
	}
	time.Sleep(settleTime / 2)
	memory.add(float64(sessions), (liveBytes()-base)/bytesPerKiB)
	before, bytes := readUsage(), p.traffic.Sent.Load()
	time.Sleep(measureWindow / 2)
	after := readUsage()
	seconds := after.at.Sub(before.at).Seconds()
	sent.add(float64(sessions), float64(p.traffic.Sent.Load()-bytes)/seconds)
	core.add(float64(sessions), 100*(after.cpu-before.cpu).Seconds()/seconds)
	return nil
}

// callsSweep measures calls of a claim's size over one session at several numbers
// of calls in flight.
func callsSweep(out io.Writer) error {
	core := &series{name: "call: CPU of both ends", unit: "us", per: "call in flight"}
	latency := &series{name: "call: median time", unit: "us", per: "call in flight"}
	bytes := &series{name: "call: bytes sent", unit: "B", per: "call in flight"}
	for _, inFlight := range []int{1, 4, 16, 64} {
		p, err := newLinkPair()
		if err != nil {
			return err
		}
		if err := measureCalls(p, inFlight, core, latency, bytes); err != nil {
			return err
		}
		p.stop()
	}
	writeFits(out, core, latency, bytes)
	return nil
}

func measureCalls(p *linkPair, inFlight int, core, latency, bytes *series) error {
	address, err := p.serve(acknowledge)
	if err != nil {
		return err
	}
	request := &pb.Request{Body: &pb.Request_Claim{Claim: &pb.ClaimRequest{
		Key: make([]byte, 32), Fingerprint: make([]byte, 32), RequestId: "0198f3c2-7d1e-7000-8000-0123456789ab", Gateway: "entry-00-00",
	}}}
	if _, err := p.pool.Call(p.ctx, address, request); err != nil {
		return err
	}
	before, sent := readUsage(), p.traffic.Sent.Load()
	var mu sync.Mutex
	var times []time.Duration
	callers := pool.New().WithErrors()
	end := time.Now().Add(measureWindow / 4)
	for range inFlight {
		callers.Go(func() error {
			for time.Now().Before(end) {
				begin := time.Now()
				if _, err := p.pool.Call(p.ctx, address, request); err != nil {
					return err
				}
				mu.Lock()
				times = append(times, time.Since(begin))
				mu.Unlock()
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return err
	}
	after, n := readUsage(), float64(len(times))
	core.add(float64(inFlight), (after.cpu-before.cpu).Seconds()*1e6/n)
	latency.add(float64(inFlight), float64(quantile(times, 0.5).Microseconds()))
	bytes.add(float64(inFlight), float64(p.traffic.Sent.Load()-sent)/n)
	return nil
}

// quantile returns the q-quantile of durations, or 0 if there are none.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func quantiles(d []time.Duration) string {
	return fmt.Sprintf("n %d, p50 %v, p95 %v, max %v", len(d), quantile(d, 0.5).Round(time.Millisecond),
		quantile(d, 0.95).Round(time.Millisecond), quantile(d, 1).Round(time.Millisecond))
}
