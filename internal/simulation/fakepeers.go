package simulation

import (
	"context"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/offload"
	"sableusher/internal/peerrpc"
)

// fakePeers is a fake of the RPCs between controllers and between cells. It calls the other controllers directly,
// unless a partition of the network separates them.
type fakePeers struct {
	region *Region
	self   *Controller
}

// SetCellHandler sets the handler of messages from other cells.
func (p fakePeers) SetCellHandler(handler peerrpc.CellHandler) {
	p.region.mu.Lock()
	defer p.region.mu.Unlock()
	p.self.cellHandler = handler
}

// Exchange sends a message to another cell over the federation's links and returns the response.
func (p fakePeers) Exchange(ctx context.Context, to config.Cell, message offload.Message) (offload.Message, error) {
	if p.region.federation == nil {
		return offload.Message{}, errConnectionReset
	}
	return p.region.federation.exchange(ctx, to.Name, message)
}

// Run blocks until ctx ends, as there is nothing to serve.
func (p fakePeers) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// LastResponseAt returns the current time for a controller that can be reached, and the zero time for others.
func (p fakePeers) LastResponseAt(node string) time.Time {
	if _, ok := p.reachableRegistries()[node]; ok {
		return time.Now()
	}
	return time.Time{}
}

// QueryRecentReports returns those of the given machines whose agents have recently sent a heartbeat to another
// controller, with the name of that controller. Controllers without a fresh state are not asked.
func (p fakePeers) QueryRecentReports(_ context.Context, machines []string) map[string]string {
	out := map[string]string{}
	for node, registry := range p.reachableRegistries() {
		if !registry.HasFreshState() {
			continue
		}
		for _, machine := range registry.RecentlyReporting(machines) {
			out[machine] = node
		}
	}
	return out
}

// QueryImages returns the machines that hold an image, by image, as reported by the other controllers.
func (p fakePeers) QueryImages(context.Context) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, registry := range p.reachableRegistries() {
		for image, machines := range registry.MachinesByImage() {
			if out[image] == nil {
				out[image] = map[string]bool{}
			}
			for _, machine := range machines {
				out[image][machine] = true
			}
		}
	}
	return out
}

// reachableRegistries returns the agent registries of the other controllers that can be reached, by controller name.
func (p fakePeers) reachableRegistries() map[string]peerrpc.AgentRegistry {
	p.region.mu.Lock()
	defer p.region.mu.Unlock()
	out := map[string]peerrpc.AgentRegistry{}
	for _, other := range p.region.controllers {
		if other == p.self || !other.isAlive() {
			continue
		}
		if _, partitioned := p.region.Network.activePartition(p.self.Settings.Node, other.Settings.Node); !partitioned {
			out[other.Settings.Node] = other.registry
		}
	}
	return out
}
