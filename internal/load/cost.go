package load

import (
	"context"
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"kumquatyard/internal/platform"
	"kumquatyard/internal/standin"
)

// meterInterval is the interval at which the instance list is read.
const meterInterval = 250 * time.Millisecond

// prices maps instance ids to prices per hour.
type prices map[string]float64

// readPrices reads the columns id and price_per_hour of an inventory in CSV. It
// returns nil if file is "".
func readPrices(file string) (prices, error) {
	if file == "" {
		return nil, nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read inventory: %w", err)
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read inventory %s: %w", file, err)
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("inventory %s: the file is empty", file)
	}
	id, price := slices.Index(rows[0], "id"), slices.Index(rows[0], "price_per_hour")
	if id < 0 || price < 0 {
		return nil, fmt.Errorf("inventory %s: the header lacks column id or price_per_hour", file)
	}
	all := make(prices)
	for i, row := range rows[1:] {
		value, err := strconv.ParseFloat(strings.TrimSpace(row[price]), 64)
		if err != nil {
			return nil, fmt.Errorf("inventory %s:%d: price_per_hour: %w", file, i+2, err)
		}
		all[row[id]] = value
	}
	return all, nil
}

// perHour returns the total price per hour of the listed instances. An instance
// that is not in the inventory was started by the cloud and costs started.
func (p prices) perHour(list []platform.Instance, started float64) float64 {
	total := 0.0
	for _, i := range list {
		price, known := p[i.ID]
		if !known {
			price = started
		}
		total += price
	}
	return total
}

// startMeter starts to meter the cost of the backend servers. The returned
// function stops the meter and returns the cost so far.
func (r *Runner) startMeter(ctx context.Context, ctl *control) func() float64 {
	list := r.instanceList(ctl)
	if list == "" || r.prices == nil {
		return func() float64 { return 0 }
	}
	ctx, cancel := context.WithCancel(ctx)
	var meter conc.WaitGroup
	cost := 0.0
	meter.Go(func() {
		last, perHour := time.Now(), 0.0
		for sleepUntil(ctx, last.Add(meterInterval)) == nil {
			var instances []platform.Instance
			// If the list cannot be read, the last price is kept.
			if _, err := ctl.get("/"+list+"/v1/instances", &instances); err == nil {
				perHour = r.prices.perHour(servers(instances), r.scenario.StartedPrice)
			}
			now := time.Now()
			cost += perHour * now.Sub(last).Hours()
			last = now
		}
	})
	return func() float64 {
		cancel()
		meter.Wait()
		return cost
	}
}

// servers returns the backend servers among all. It omits entry instances, because
// every policy needs the same ones.
func servers(all []platform.Instance) []platform.Instance {
	return slices.DeleteFunc(all, func(i platform.Instance) bool {
		return i.Kind != standin.KindEngine && i.Kind != standin.KindService
	})
}

// instanceList returns the id of the stand-in that serves the instance list, or
// an empty string if there is none.
func (r *Runner) instanceList(ctl *control) string {
	if ctl == nil {
		return ""
	}
	kinds, err := ctl.ids()
	if err != nil {
		return ""
	}
	for id, kind := range kinds {
		if kind == standin.KindInstances {
			return id
		}
	}
	return ""
}
