package entry

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"kumquatyard/internal/connlimit"
	"kumquatyard/internal/demand"
	"kumquatyard/internal/fleet"
	"kumquatyard/internal/forecast"
	"kumquatyard/internal/machine"
	"kumquatyard/internal/quota"
	"kumquatyard/internal/rollout"
	"kumquatyard/internal/serve"
	"kumquatyard/internal/store"
	"kumquatyard/internal/usage"
)

// Settings holds the settings of one instance.
type Settings struct {
	Name             string
	Zone             string
	CallersAddress   string
	ReadinessAddress string
	PeersAddress     string
	MetricsAddress   string
	// LinkMbps is the bandwidth of the instance's network link, 0 if it is not known.
	LinkMbps uint32
	// ShareRoom is set if the instances share the room of pools that are short of it among the
	// workspaces.
	ShareRoom bool
	// StoreWritesPerSecond is the number of writing calls that the store takes from all
	// instances together; 0 if it is not known.
	StoreWritesPerSecond float64

	// DrainTime is how long a server may get requests after it was announced that it leaves; 0
	// if it is not known.
	DrainTime   time.Duration
	RetryWindow time.Duration
	UsageWindow time.Duration
	// Rollouts are the bounds for roll-outs; zero if the operators ask for none.
	Rollouts   rollout.Bounds
	Reloadable ReloadableSettings
}

// ReloadableSettings holds the settings that can change while an instance runs.
type ReloadableSettings struct {
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack define the retry budget of all instances together.
	RetryRatio float64
	RetrySlack float64
	// QuotaTolerance is how far the workspaces' quotas may be exceeded.
	QuotaTolerance quota.Tolerance
}

// Frontend serves callers.
type Frontend interface {
	Serve(l net.Listener) error
	// ServeHandovers serves requests that other instances hand over.
	ServeHandovers(l net.Listener) error
	// CloseConnections makes each connection close after its next answer.
	CloseConnections()
	// RefuseWork refuses new requests with a status that says that they did not run.
	RefuseWork()
	// Shutdown closes idle connections and waits for those in use.
	Shutdown(ctx context.Context) error
}

// Options configures an Instance.
type Options struct {
	Settings Settings
	Store    store.Store
	Backend  serve.Backend
	// NewFrontend returns the frontend that serves callers with core.
	NewFrontend func(core *serve.Server, snapshot func() *fleet.Snapshot) Frontend

	ConfigKey     string
	ServersPrefix string
	DecodeConfig  func([]byte) (*fleet.Config, error)
	DecodeServer  func(store.Item, time.Time) (fleet.Server, error)
	ServerID      func(key string) machine.ID
	// The orders and the statuses of roll-outs are below two prefixes of the store.
	RolloutOrdersPrefix, RolloutStatusPrefix string
	DecodeRolloutOrder                       func(store.Item) (rollout.Order, error)
	DecodeRolloutStatus                      func(store.Item) (rollout.Status, error)

	// Guard bounds what clients take of the process. If it is nil, nothing does.
	Guard *connlimit.Guard
	// RunDuties competes for the duties and does them while they are held, until ctx
	// is done or they were handed over. Nil means that the instance takes no duties.
	RunDuties func(ctx context.Context, d DutyContext)
	// Sweep closes idle connections. It is called every maintainInterval; may be nil.
	Sweep func(now time.Time)
	Log   *logrus.Entry
}

// DutyContext holds the instance's state that the duties use.
type DutyContext struct {
	Usage     *usage.Counter
	Predictor *forecast.Predictor
	Snapshot  func() *fleet.Snapshot
	Now       func() time.Time
	Demand    *demand.Meter
	Rollouts  *rollout.Tracker
	// Incarnation identifies this process in the usage counts.
	Incarnation string
	// AllReported reports whether the usage counts of every other instance arrived
	// within the given time.
	AllReported func(within time.Duration) bool
	// MaxStaleness bounds the age of what instances know of each other's requests.
	MaxStaleness func() time.Duration
	// Covers reports whether what is known of the others' requests is that of nearly all instances.
	Covers func(now time.Time) bool
	// Candidate reports whether this instance should compete for the duties, whose lease has
	// a time to live.
	Candidate func(leaseTTL time.Duration) bool
	// Stopping is closed when this instance should hand the duties over.
	Stopping <-chan struct{}
	// SetHolding records whether this instance holds the duties.
	SetHolding func(bool)
	// StoreEra returns the store's era and when this instance first read the store in it,
	// by Now.
	StoreEra func() (era uint64, since time.Time)
}
