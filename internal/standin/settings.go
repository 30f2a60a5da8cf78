package standin

import (
	"context"
	"fmt"
	"time"

	"kumquatyard/internal/platform"
	"kumquatyard/internal/telemetry"
)

// Kinds of stand-ins in settings.
const (
	KindKV        = "kv"
	KindEngine    = "engine"
	KindService   = "service"
	KindCloud     = "cloud"
	KindInstances = "instances"
	KindWeights   = "weights"
)

// Settings are the settings of kumquat-standin.
type Settings struct {
	// Control is an address that serves /ID/PATH for every stand-in, even one
	// that is down or closed, and POST /ID/_restart.
	Control   string             `yaml:"control" validate:"omitempty,hostname_port"`
	Seed      uint64             `yaml:"seed"`
	Standins  []StandinSettings  `yaml:"standins" validate:"required,min=1,dive"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
	// Entries are processes of entry instances, which the instance list
	// includes but the stand-ins do not run.
	Entries []EntrySettings `yaml:"entries" validate:"dive"`
}

// EntrySettings describe a process of an entry instance in the instance list.
type EntrySettings struct {
	ID      string `yaml:"id" validate:"required"`
	Address string `yaml:"address" validate:"required,hostname_port"`
	Zone    string `yaml:"zone" validate:"required"`
	Role    string `yaml:"role" validate:"required,oneof=agent gateway"`
}

func (s EntrySettings) instance() Instance {
	return Instance{ID: s.ID, Kind: "entry", Address: s.Address, Zone: s.Zone, Role: s.Role}
}

// StandinSettings describe one stand-in. Keys that do not apply to its kind are
// ignored.
type StandinSettings struct {
	Kind   string `yaml:"kind" validate:"required,oneof=kv engine service cloud instances weights"`
	ID     string `yaml:"id" validate:"required"`
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	Zone   string `yaml:"zone"`
	Class  string `yaml:"class"`
	// Reclaimable instances are removed when the cloud reclaims their zone.
	Reclaimable bool   `yaml:"reclaimable"`
	Faults      Faults `yaml:"faults"`

	KV      KVSettings      `yaml:"kv"`
	Engine  EngineSettings  `yaml:"engine"`
	Service ServiceSettings `yaml:"service"`
	Cloud   CloudSettings   `yaml:"cloud"`
	Weights WeightsSettings `yaml:"weights"`
}

// KVSettings configure a KV.
type KVSettings struct {
	WritesPerSecond float64 `yaml:"writes_per_second" validate:"min=0"`
	ReadsPerSecond  float64 `yaml:"reads_per_second" validate:"min=0"`
}

// EngineSettings configure an Engine; see EngineOptions for the defaults.
type EngineSettings struct {
	Slots                  int           `yaml:"slots" validate:"min=0"`
	QueueLimit             int           `yaml:"queue_limit" validate:"min=0"`
	CacheBlocks            int           `yaml:"cache_blocks" validate:"min=0"`
	TokenTime              time.Duration `yaml:"token_time" validate:"min=0"`
	TokenTimePerRequest    time.Duration `yaml:"token_time_per_request" validate:"min=0"`
	PrefillTokensPerSecond int           `yaml:"prefill_tokens_per_second" validate:"min=0"`
	PrefillChunk           int           `yaml:"prefill_chunk" validate:"min=0"`
	StreamRetention        time.Duration `yaml:"hold" validate:"min=0"`
	LoadTime               time.Duration `yaml:"load_time" validate:"min=0"`
	TimeScale              float64       `yaml:"time_scale" validate:"min=0"`
	Models                 []string      `yaml:"models"`
	Role                   string        `yaml:"role"`
	Fencing                bool          `yaml:"fencing"`
	// WeightStore is the address of the weight store that models are fetched
	// from; empty means that nothing is fetched.
	WeightStore string `yaml:"weight_store" validate:"omitempty,hostname_port"`
}

// ServiceSettings configure a Service.
type ServiceSettings struct {
	ServiceTime    time.Duration `yaml:"service_time" validate:"min=0"`
	Slots          int           `yaml:"slots" validate:"min=0"`
	FailAfterRun   float64       `yaml:"fail_after_run" validate:"min=0,max=1"`
	CloseBeforeRun float64       `yaml:"close_before_run" validate:"min=0,max=1"`
}

// CloudSettings configure a Cloud. The instances it starts are engines with the
// engine settings of its StandinSettings.
type CloudSettings struct {
	StartTime time.Duration `yaml:"start_time" validate:"min=0"`
	Capacity  int           `yaml:"room" validate:"min=0"`
}

// WeightsSettings configure a Weights.
type WeightsSettings struct {
	Bytes          int     `yaml:"bytes" validate:"min=0"`
	BytesPerSecond float64 `yaml:"bytes_per_second" validate:"min=0"`
}

func (s EngineSettings) options(seed uint64) EngineOptions {
	o := EngineOptions{
		Seed:                   seed,
		Slots:                  s.Slots,
		QueueLimit:             s.QueueLimit,
		CacheBlocks:            s.CacheBlocks,
		TokenTime:              s.TokenTime,
		TokenTimePerRequest:    s.TokenTimePerRequest,
		PrefillTokensPerSecond: s.PrefillTokensPerSecond,
		PrefillChunk:           s.PrefillChunk,
		StreamRetention:        s.StreamRetention,
		LoadTime:               s.LoadTime,
		TimeScale:              s.TimeScale,
		Models:                 s.Models,
		Role:                   s.Role,
		Fencing:                s.Fencing,
	}
	if s.WeightStore != "" {
		o.FetchWeights = weightFetcher(s.WeightStore)
	}
	return o
}

const fetchTimeout = 5 * time.Minute

func weightFetcher(address string) func(model string) error {
	store := platform.NewWeightStore(address, fetchTimeout)
	return func(model string) error {
		_, err := store.Fetch(context.Background(), model)
		return err
	}
}

// build returns the stand-in that s describes.
func (g *Group) build(s StandinSettings) (Standin, error) {
	seed := g.settings.Seed
	switch s.Kind {
	case KindKV:
		return NewKV(KVOptions{Seed: seed, WritesPerSecond: s.KV.WritesPerSecond, ReadsPerSecond: s.KV.ReadsPerSecond}), nil
	case KindEngine:
		return NewEngine(s.Engine.options(seed)), nil
	case KindService:
		return NewService(ServiceOptions{
			Seed:           seed,
			ServiceTime:    s.Service.ServiceTime,
			Slots:          s.Service.Slots,
			FailAfterRun:   s.Service.FailAfterRun,
			CloseBeforeRun: s.Service.CloseBeforeRun,
		}), nil
	case KindCloud:
		return NewCloud(g.fleet, CloudOptions{
			Seed:      seed,
			StartTime: s.Cloud.StartTime,
			Capacity:  s.Cloud.Capacity,
			Start:     g.engineStarter(s),
		}), nil
	case KindInstances:
		return NewInstances(g.fleet, seed), nil
	case KindWeights:
		return NewWeights(WeightsOptions{Seed: seed, Bytes: s.Weights.Bytes, BytesPerSecond: s.Weights.BytesPerSecond}), nil
	default:
		return nil, fmt.Errorf("unknown kind %q", s.Kind)
	}
}
