package origin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/fleet"
	"kumquatyard/internal/machine"
)

// scenario is a minute of streams over all instances of a fleet.
type scenario struct {
	instances, servers int
	length             time.Duration
	streamsPerSecond   int
	// release is the time between the replacements of two servers by a newer version, 0 for
	// all at once; releases are the times at which releases begin.
	release  time.Duration
	releases []time.Duration
	// back makes the second release bring the first version back.
	back bool
	// killOne and killAll are the times at which a third of the instances, and all, are killed.
	killOne, killAll []time.Duration
	// away, restored: the store is away for 3 s, or comes back 3 s older. late is the share of
	// writes that are carried out late, without an answer.
	away, restored []time.Duration
	late           float64
	// cutOff is the share of instances that do not reach the store from 10 to 30 s.
	cutOff float64
}

const (
	testPool    = "p"
	restartTime = 300 * time.Millisecond
)

// model is a fleet that plays a scenario. What a stream holds is compared with what its
// resumption is taken for.
type model struct {
	t      *testing.T
	s      scenario
	store  *fakeStore
	random *rand.Rand

	mu sync.Mutex
	// serving holds the servers of the pool.
	serving   []*fleet.Server
	next      int
	instances []*instance
	// began, refused: new streams that began or were refused; resumed, unknown: those that
	// callers took up again at instances in touch while their version served.
	began, refused, resumed, unknown int
}

// instance is one entry instance, which follows the store some time late.
type instance struct {
	tracker   *Tracker
	snapshot  atomic.Pointer[fleet.Snapshot]
	startedAt time.Time
	cancel    context.CancelFunc
	ctx       context.Context
	cut       atomic.Bool
	writes    bool
}

func newModel(t *testing.T, s scenario, seed uint64) *model {
	m := &model{t: t, s: s, store: newFakeStore(seed), random: rand.New(rand.NewPCG(seed, 2))}
	for range s.servers {
		m.addServer("v1")
	}
	return m
}

func (m *model) addServer(version string) {
	m.next++
	id := machine.ID("s" + strconv.Itoa(m.next))
	m.serving = append(m.serving, &fleet.Server{Server: machine.Server{ID: id, Pool: testPool}, Version: version, Lifecycle: machine.Serving})
}

func (m *model) draw(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

var quiet = func() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}()

var testConfig = fleet.NewConfig(1, []*fleet.Route{{Stream: true, Resumable: true, Targets: []fleet.Target{{Pool: testPool, Weight: 1}}}}, nil, nil, fleet.Limits{})

// start starts instance n.
func (m *model) start(ctx context.Context, n int) {
	i := &instance{startedAt: time.Now(), writes: n < 3}
	i.ctx, i.cancel = context.WithCancel(ctx)
	i.tracker = New(Options{
		Store: cutStore{m.store, &i.cut}, Snapshot: i.snapshot.Load, Instances: func() int { return m.s.instances },
		WritesLists: func() bool { return i.writes }, WritesPerSecond: 4 * float64(m.s.instances), Log: quiet,
	})
	m.mu.Lock()
	m.instances[n] = i
	m.mu.Unlock()
	go m.follow(i)
	go i.tracker.Run(i.ctx, func() uint64 { return m.era() })
}

func (m *model) era() uint64 {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	return m.store.era
}

// follow updates what an instance knows of the store: servers and lists of one moment.
func (m *model) follow(i *instance) {
	for i.ctx.Err() == nil {
		m.store.mu.Lock()
		away := m.store.away || i.cut.Load()
		m.store.mu.Unlock()
		if !away {
			m.mu.Lock()
			servers := append([]*fleet.Server(nil), m.serving...)
			m.mu.Unlock()
			items, _ := m.store.list(VersionsPrefix)
			time.Sleep(storeDelay)
			i.snapshot.Store(&fleet.Snapshot{Config: testConfig, Servers: map[string][]*fleet.Server{testPool: servers}})
			i.tracker.Resync(items, time.Now(), time.Time{})
		}
		time.Sleep(time.Duration(100+m.draw(500)) * time.Millisecond)
	}
}

// instance returns a random instance that runs, nil if there is none.
func (m *model) instance() *instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range 20 {
		if i := m.instances[m.random.IntN(len(m.instances))]; i != nil && i.ctx.Err() == nil && i.snapshot.Load() != nil {
			return i
		}
	}
	return nil
}

// serve plays one caller: its stream, and resumptions after it broke off.
func (m *model) serve(id string) {
	i := m.instance()
	if i == nil {
		return
	}
	var candidates []*fleet.Server
	for _, s := range i.snapshot.Load().Servers[testPool] {
		if i.tracker.MayBegin(s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		m.count(&m.refused)
		return
	}
	server := candidates[m.draw(len(candidates))]
	i.tracker.Begin(id, server)
	if m.draw(10) == 0 { // the first server turns the request away
		time.Sleep(10 * time.Millisecond)
		server = candidates[m.draw(len(candidates))]
		i.tracker.Begin(id, server)
	}
	time.Sleep(time.Duration(30+m.draw(60)) * time.Millisecond)
	if i.ctx.Err() != nil {
		return
	}
	if err := i.tracker.Confirm(i.ctx, id, server); err != nil || i.ctx.Err() != nil {
		m.count(&m.refused)
		return
	}
	m.count(&m.began)
	m.run(i, id)
	for range 4 {
		time.Sleep(time.Duration(1+m.draw(400)) * time.Millisecond)
		if !m.resume(id, server) {
			return
		}
	}
}

// run waits until a stream ends or breaks off.
func (m *model) run(i *instance, id string) {
	select {
	case <-i.ctx.Done():
		return
	case <-time.After(time.Duration(100+m.draw(2500)) * time.Millisecond):
	}
	i.tracker.End(id, true)
}

// resume takes a stream up again at any instance. It returns false when the caller gives up.
func (m *model) resume(id string, origin *fleet.Server) bool {
	i := m.instance()
	if i == nil {
		return true
	}
	found, err := i.tracker.Resolve(i.ctx, testPool, id)
	if i.ctx.Err() != nil {
		return true
	}
	if err != nil {
		if m.isInTouch(i) && m.serves(origin.Version) {
			m.count(&m.unknown)
		}
		return !errors.Is(err, ErrUnknown)
	}
	for _, s := range i.snapshot.Load().Servers[testPool] {
		if found.CanContinue(s) && s.Version != origin.Version {
			m.t.Errorf("stream %s began at version %s and goes on at %s (%+v)", id, origin.Version, s.Version, found)
			return false
		}
	}
	i.tracker.Adopt(id, found)
	if m.isInTouch(i) && m.serves(origin.Version) {
		m.count(&m.resumed)
	}
	m.run(i, id)
	return true
}

// isInTouch reports whether an instance has run and reached the store for a while.
func (m *model) isInTouch(i *instance) bool {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	return time.Since(i.startedAt) > 3*time.Second && !i.cut.Load() && !m.store.away
}

// serves reports whether two servers of a version serve.
func (m *model) serves(version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.serving {
		if s.Version == version {
			n++
		}
	}
	return n >= 2
}

func (m *model) count(counter *int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*counter++
}

// releaseAt replaces servers by a version.
func (m *model) releaseAt(ctx context.Context, at time.Duration, version string) {
	time.Sleep(at)
	for range m.s.servers * 2 / 3 {
		m.mu.Lock()
		m.addServer(version)
		for n, s := range m.serving {
			if s.Version != version {
				m.serving = append(m.serving[:n:n], m.serving[n+1:]...)
				break
			}
		}
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.s.release):
		}
	}
}

// kill ends instances, which start again.
func (m *model) kill(ctx context.Context, at time.Duration, share float64) {
	time.Sleep(at)
	for n := range m.instances {
		if float64(m.draw(1000)) >= 1000*share || ctx.Err() != nil {
			continue
		}
		m.mu.Lock()
		i := m.instances[n]
		m.mu.Unlock()
		i.cancel()
		go func() {
			time.Sleep(restartTime + time.Duration(m.draw(300))*time.Millisecond)
			if ctx.Err() == nil {
				m.start(ctx, n)
			}
		}()
	}
}

// disturb plays the faults of the store.
func (m *model) disturb() {
	for _, at := range m.s.away {
		go func() {
			time.Sleep(at)
			m.store.setAway(true)
			time.Sleep(3 * time.Second)
			m.store.setAway(false)
		}()
	}
	for _, at := range m.s.restored {
		go func() {
			time.Sleep(at)
			m.store.setAway(true)
			time.Sleep(500 * time.Millisecond)
			m.store.restore(3 * time.Second)
			m.store.setAway(false)
		}()
	}
	go func() {
		for range int(m.s.length / time.Second) {
			m.store.keepCopy()
			time.Sleep(time.Second)
		}
	}()
	if m.s.cutOff > 0 {
		go m.cutInstances()
	}
}

func (m *model) cutInstances() {
	time.Sleep(10 * time.Second)
	for range int(m.s.cutOff * float64(m.s.instances)) {
		if i := m.instance(); i != nil {
			i.cut.Store(true)
			time.AfterFunc(20*time.Second, func() { i.cut.Store(false) })
		}
	}
}

// play runs the scenario.
func (m *model) play() {
	ctx, cancel := context.WithCancel(m.t.Context())
	m.store.lateShare = m.s.late
	m.instances = make([]*instance, m.s.instances)
	for n := range m.instances {
		m.start(ctx, n)
	}
	time.Sleep(2 * time.Second)
	m.disturb()
	for n, at := range m.s.releases {
		version := fmt.Sprintf("v1.%d", n+1)
		if m.s.back && n == 1 {
			version = "v1"
		}
		go m.releaseAt(ctx, at, version)
	}
	for _, at := range m.s.killOne {
		go m.kill(ctx, at, 0.33)
	}
	for _, at := range m.s.killAll {
		go m.kill(ctx, at, 1)
	}
	for n := range int(m.s.length/time.Second) * m.s.streamsPerSecond {
		go m.serve("r" + strconv.Itoa(n))
		time.Sleep(time.Second / time.Duration(m.s.streamsPerSecond))
	}
	time.Sleep(10 * time.Second)
	cancel()
	time.Sleep(5 * time.Second)
}

func seconds(list ...float64) []time.Duration {
	out := make([]time.Duration, len(list))
	for n, s := range list {
		out[n] = time.Duration(s * float64(time.Second))
	}
	return out
}

// Streams break off while servers of several versions serve in a pool, and their callers take
// them up again at any instance. None may be taken for a stream of another version, and nearly
// all go on (issue 30, ORDER and LOST).
func TestStreamsKeepToTheirVersionOverAllInstances(t *testing.T) {
	small := scenario{instances: 6, servers: 18, length: time.Minute, streamsPerSecond: 30}
	large := scenario{instances: 300, servers: 60, length: 16 * time.Second, streamsPerSecond: 40}
	with := func(s scenario, change func(*scenario)) scenario {
		change(&s)
		return s
	}
	slow := func(s *scenario) { s.release, s.releases = 400*time.Millisecond, seconds(4, 20, 40) }
	scenarios := map[string]scenario{
		"one version":          small,
		"releases":             with(small, slow),
		"releases at once":     with(small, func(s *scenario) { s.releases = seconds(4, 12, 40) }),
		"to and fro":           with(small, func(s *scenario) { slow(s); s.back = true }),
		"instances killed":     with(small, func(s *scenario) { slow(s); s.killOne = seconds(5, 8, 21, 24, 30, 41, 44) }),
		"all killed":           with(small, func(s *scenario) { slow(s); s.killAll = seconds(4.2, 7, 21, 42, 47) }),
		"all killed at once":   with(small, func(s *scenario) { s.releases = seconds(6, 20, 40); s.killAll = seconds(6.3, 8.3, 23, 41) }),
		"store away":           with(small, func(s *scenario) { slow(s); s.away = seconds(3, 7, 22, 41); s.killAll = seconds(8, 23, 43) }),
		"writes late":          with(small, func(s *scenario) { slow(s); s.late = 0.3; s.killAll = seconds(5, 9, 23, 43) }),
		"store restored":       with(small, func(s *scenario) { slow(s); s.restored = seconds(7, 22, 44); s.killOne = seconds(8, 23, 45) }),
		"restored, all killed": with(small, func(s *scenario) { slow(s); s.restored = seconds(6, 22, 44); s.killAll = seconds(6.8, 23, 44.7) }),
		"cut off from the store": with(small, func(s *scenario) {
			slow(s)
			s.releases = seconds(11, 40)
			s.cutOff = 0.5
			s.killOne = seconds(12, 14, 18, 22)
		}),
		"300 instances": with(large, func(s *scenario) { slow(s); s.releases = seconds(4); s.killOne = seconds(5, 8); s.killAll = seconds(9) }),
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range s.seeds() {
				synctest.Test(t, func(t *testing.T) {
					m := newModel(t, s, seed)
					m.play()
					m.judge(t)
				})
			}
		})
	}
}

// seeds returns the number of seeds to play: fewer of large fleets.
func (s *scenario) seeds() uint64 {
	if s.instances > 100 {
		return 1
	}
	return 2
}

// judge compares the share of resumptions that go on with that of new streams that begin.
func (m *model) judge(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	began := float64(m.began) / float64(max(m.began+m.refused, 1))
	resumed := float64(m.resumed) / float64(max(m.resumed+m.unknown, 1))
	t.Logf("%d streams began, %d were refused; %d resumptions went on, %d were refused; %d writes", m.began, m.refused, m.resumed, m.unknown, m.store.writes)
	if m.resumed+m.unknown < 12 {
		t.Errorf("%d resumptions, want at least 12", m.resumed+m.unknown)
	}
	if resumed < 0.9*began {
		t.Errorf("%.2f of the resumptions went on, want 0.9 of the share of new streams that began, %.2f", resumed, began)
	}
}
