package load

import (
	"testing"

	"kumquatyard/internal/platform"
	"kumquatyard/internal/settings"
)

func TestReadPricesOfDemoInventory(t *testing.T) {
	p, err := readPrices("../../deploy/demo/inventory.csv")
	if err != nil {
		t.Fatal(err)
	}
	list := servers([]platform.Instance{
		{ID: "engine-a1", Kind: "engine"},
		{ID: "app-a", Kind: "service"},
		{ID: "started-1", Kind: "engine"},
		{ID: "gateway-a", Kind: "gateway"},
	})
	const engine, app, started = 1.10, 0.20, 0.5
	if got := p.perHour(list, started); got != engine+app+started {
		t.Errorf("perHour = %v, want %v", got, engine+app+started)
	}
	if _, err := readPrices("no-such-file.csv"); err == nil {
		t.Error("readPrices of a missing file returned no error")
	}
}

func TestExampleScenariosAreValid(t *testing.T) {
	for _, file := range []string{"load.yaml", "load-faults.yaml"} {
		var s Settings
		if err := settings.Load("../../deploy/demo/"+file, &s); err != nil {
			t.Error(err)
			continue
		}
		if _, err := s.Scenario.WithDefaults(); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}
