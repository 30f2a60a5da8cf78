package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"kumquatyard/platform/standin"
)

const (
	// lanes is the number of series of faults that run at once.
	lanes = 3
	// drainTime is how long a server that leaves goes on serving.
	drainTime = 2500 * time.Millisecond
	// exitSlack is how long after its grace period a stopped process may end.
	exitSlack = 2 * time.Second
)

// chaos injects series of faults that overlap.
type chaos struct {
	f      *fleet
	record *record
	logf   func(format string, args ...any)

	mu      sync.Mutex
	random  *rand.Rand
	version int
	added   bool
	second  bool
	store   sync.Mutex
}

// series are the kinds of faults.
var series = []func(*chaos, time.Duration){
	(*chaos).restart, (*chaos).restart, (*chaos).kill, (*chaos).kill, (*chaos).freeze, (*chaos).hangups,
	(*chaos).rolling, (*chaos).herd, (*chaos).storeLink, (*chaos).storeLink, (*chaos).storeOutage, (*chaos).compact,
	(*chaos).serverLink, (*chaos).serverFaults, (*chaos).replaceServer, (*chaos).crashServer, (*chaos).dutiesDown,
	(*chaos).configure, (*chaos).configure,
}

// run injects faults until done is closed, then undoes them.
func (c *chaos) run(done <-chan struct{}) {
	var all sync.WaitGroup
	for range lanes {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(c.upTo(700 * time.Millisecond)):
					series[c.pick(len(series))](c, c.upTo(2500*time.Millisecond))
				}
			}
		})
	}
	all.Wait()
	c.calm()
}

// calm ends all faults and starts what does not run.
func (c *chaos) calm() {
	c.f.store.SetFaults(standin.StoreFaults{})
	c.f.duties.SetDown(false)
	for _, s := range c.f.list() {
		s.proxy.set(noTrouble)
		s.SetFaults(standin.ServerFaults{})
	}
	for _, i := range c.f.instances {
		i.store.set(noTrouble)
		i.signal(syscall.SIGCONT)
		c.start(i)
	}
}

func (c *chaos) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

func (c *chaos) upTo(d time.Duration) time.Duration {
	return 50*time.Millisecond + time.Duration(c.pick(int(d)))
}

func (c *chaos) share() float64 { return 0.1 + float64(c.pick(50))/100 }

func (c *chaos) start(i *instance) {
	if err := i.start(); err != nil {
		c.record.breach("%s does not start: %v", i.name, err)
	}
}

// withInstance acts on an instance that no other series acts on.
func (c *chaos) withInstance(what string, act func(*instance)) {
	i := c.f.instances[c.pick(len(c.f.instances))]
	if !i.changing.TryLock() {
		return
	}
	defer i.changing.Unlock()
	c.logf("%s %s", what, i.name)
	act(i)
}

func (c *chaos) restart(time.Duration) { c.withInstance("restart", c.stopAndStart) }

func (c *chaos) stopAndStart(i *instance) {
	i.signal(syscall.SIGTERM)
	if !i.awaitExit(graceS*time.Second + exitSlack) {
		c.record.breach("%s did not end within its grace period", i.name)
		i.signal(syscall.SIGKILL)
		i.awaitExit(exitSlack)
	}
	c.start(i)
}

func (c *chaos) kill(pause time.Duration) {
	c.withInstance("kill", func(i *instance) {
		i.signal(syscall.SIGKILL)
		i.awaitExit(exitSlack)
		time.Sleep(pause / 3)
		c.start(i)
	})
}

func (c *chaos) freeze(length time.Duration) {
	c.withInstance("freeze", func(i *instance) { i.pause(length) })
}

func (c *chaos) hangups(time.Duration) {
	c.withInstance("hang-ups", func(i *instance) {
		for range 3 {
			i.signal(syscall.SIGHUP)
			time.Sleep(c.upTo(50 * time.Millisecond))
		}
	})
}

// rolling stops and starts the instances in turn, without waiting for each other.
func (c *chaos) rolling(gap time.Duration) {
	c.logf("rolling restart")
	var all sync.WaitGroup
	for _, i := range c.f.instances {
		if !i.changing.TryLock() {
			continue
		}
		all.Go(func() {
			defer i.changing.Unlock()
			c.stopAndStart(i)
		})
		time.Sleep(gap / 2)
	}
	all.Wait()
}

// herd kills several instances at the same moment.
func (c *chaos) herd(pause time.Duration) {
	c.logf("herd of kills")
	var hit []*instance
	for _, i := range c.f.instances {
		if c.pick(3) > 0 && i.changing.TryLock() {
			hit = append(hit, i)
		}
	}
	for _, i := range hit {
		i.signal(syscall.SIGKILL)
	}
	time.Sleep(pause / 3)
	for _, i := range hit {
		i.awaitExit(exitSlack)
		c.start(i)
		i.changing.Unlock()
	}
}

func (c *chaos) storeLink(length time.Duration) {
	i := c.f.instances[c.pick(len(c.f.instances))]
	t := trouble(1 + c.pick(int(resets)))
	c.logf("store of %s: trouble %d for %v", i.name, t, length)
	i.store.set(t)
	time.Sleep(length)
	i.store.set(noTrouble)
}

func (c *chaos) storeOutage(length time.Duration) {
	if !c.store.TryLock() {
		return
	}
	defer c.store.Unlock()
	faults := standin.StoreFaults{Outage: standin.Outage(c.pick(int(standin.Unresponsive) + 1)), FailureRate: 1, Delay: c.upTo(100 * time.Millisecond)}
	if c.pick(2) == 0 {
		faults.FailureRate = c.share()
	}
	c.logf("store: %+v for %v", faults, length)
	c.f.store.SetFaults(faults)
	time.Sleep(length)
	c.f.store.SetFaults(standin.StoreFaults{})
}

func (c *chaos) compact(time.Duration) {
	c.logf("store forgets its history")
	c.f.store.Compact()
}

func (c *chaos) serverLink(length time.Duration) {
	servers := c.f.list()
	s := servers[c.pick(len(servers))]
	t := trouble(1 + c.pick(int(resets)))
	c.logf("server %s: trouble %d for %v", s.ID, t, length)
	s.proxy.set(t)
	time.Sleep(length)
	s.proxy.set(noTrouble)
}

func (c *chaos) serverFaults(length time.Duration) {
	servers := c.f.list()
	s := servers[c.pick(len(servers))]
	var faults standin.ServerFaults
	switch c.pick(5) {
	case 0:
		faults.ResetRate = c.share()
	case 1:
		faults.TruncateRate = c.share()
	case 2:
		faults.ErrorRate = c.share()
	case 3:
		faults.RejectRate = c.share()
	default:
		faults.Delay = c.upTo(300 * time.Millisecond)
	}
	c.logf("server %s: %+v for %v", s.ID, faults, length)
	s.SetFaults(faults)
	time.Sleep(length)
	s.SetFaults(standin.ServerFaults{})
}

// replaceServer starts a server and lets another of its service leave.
func (c *chaos) replaceServer(time.Duration) {
	service := services[c.pick(len(services))]
	c.f.addServer(service)
	s := c.f.take(service)
	c.logf("server %s leaves", s.ID)
	s.Drain()
	time.Sleep(drainTime)
	s.Stop()
	s.proxy.close()
	s.Unregister()
}

// crashServer ends a server without notice; its entry lapses.
func (c *chaos) crashServer(time.Duration) {
	service := services[c.pick(len(services))]
	s := c.f.take(service)
	c.logf("server %s crashes", s.ID)
	s.Stop()
	s.proxy.close()
	c.f.addServer(service)
	time.Sleep(1500 * time.Millisecond)
	s.Unregister()
}

func (c *chaos) dutiesDown(length time.Duration) {
	c.f.duties.SetDown(true)
	time.Sleep(length)
	c.f.duties.SetDown(false)
}

// configure writes a further version, with a route or a key more or less.
func (c *chaos) configure(time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 1 + c.random.IntN(3)
	if c.random.IntN(2) == 0 {
		c.added = !c.added
	} else {
		c.second = !c.second
	}
	c.write()
}

// write writes the configuration; it is called with mu held, or before run.
func (c *chaos) write() {
	routes := []standin.Route{
		{Name: "lookup", Prefix: "/lookup/", Service: "lookup", Kind: standin.Idempotent, TimeoutMS: 1500, MaxAttempts: 2},
		{Name: "order", Prefix: "/order/", Service: "order", Kind: standin.NonIdempotent, TimeoutMS: 1500, MaxAttempts: 1},
		{Name: "draft", Prefix: "/stream/", Service: "draft", Kind: standin.Streaming, TimeoutMS: 1800, MaxAttempts: 2, Resumable: true},
	}
	if c.added {
		routes = append(routes, standin.Route{Name: "added", Prefix: "/added/", Service: "lookup", Kind: standin.Idempotent, TimeoutMS: 1500, MaxAttempts: 2})
	}
	keys := []string{apiKey}
	if c.second {
		keys = append(keys, secondKey)
	}
	value, err := standin.Config(c.version, routes, map[string][]string{workspace: keys})
	if err != nil {
		panic(err) // the configuration holds plain values only
	}
	c.f.store.Put(standin.ConfigKey, value)
	c.logf("configuration %d: added route %v, second key %v", c.version, c.added, c.second)
}

// secondKey is in some configurations only.
const secondKey = "key-2"

// String describes the state that the last configuration allows.
func (c *chaos) String() string { return fmt.Sprintf("version %d", c.version) }
