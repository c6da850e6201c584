package autoscaler

import (
	"log/slog"
	"testing"

	"sableusher/internal/clusterstate"
	"sableusher/internal/config"
	"sableusher/internal/wire"
)

var testZones = []string{"east", "west"}

// newTestAutoscaler returns an autoscaler with one machine type in testZones. It can plan, but not call the
// cloud or commit.
func newTestAutoscaler(tb testing.TB) *Autoscaler {
	log := slog.New(slog.DiscardHandler)
	state := clusterstate.New(3, log)
	state.Catalog.Types["m"] = wire.MachineType{
		Name: "m", CPUs: 32, GPUs: 4, MemoryGB: 256,
		Price: 10, SpotPrice: 4, BootSeconds: 30, Zones: testZones,
	}
	operator, err := config.LoadOperator("")
	if err != nil {
		tb.Fatal(err)
	}
	return New(Options{Settings: &config.Settings{}, Operator: operator, State: state, Log: log})
}

// newTestGang returns a gang that must run in one zone; each of its tasks needs a whole machine.
func newTestGang(tasks int) *wire.JobSpec {
	return &wire.JobSpec{
		ID: "run-1", Kind: wire.KindGang, Priority: wire.PriorityHigh, TaskCount: tasks,
		CPUs: 28, GPUs: 4, MemoryGB: 200, SameZone: true,
	}
}
