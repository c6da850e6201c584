package simulation

import (
	"context"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/offload"
	"sableusher/internal/peerrpc"
)

// fakePeers is a fake of the RPCs between controllers, and between cells: direct calls, where the network
// lets them pass.
type fakePeers struct {
	region *Region
	self   *Controller
}

// SetCellHandler sets what answers other cells.
func (p fakePeers) SetCellHandler(handler peerrpc.CellHandler) {
	p.region.mu.Lock()
	defer p.region.mu.Unlock()
	p.self.cellHandler = handler
}

// Exchange asks another cell, over the links between them.
func (p fakePeers) Exchange(ctx context.Context, to config.Cell, message offload.Message) (offload.Message, error) {
	if p.region.federation == nil {
		return offload.Message{}, errConnectionReset
	}
	return p.region.federation.exchange(ctx, to.Name, message)
}

// Run returns when the context ends: there is nothing to serve.
func (p fakePeers) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// LastAnswered is now for a controller that can be reached; else zero.
func (p fakePeers) LastAnswered(node string) time.Time {
	if _, ok := p.reachableRegistries()[node]; ok {
		return time.Now()
	}
	return time.Time{}
}

// QueryRecentlyHeard gives, of some machines, those that other controllers have heard of lately, with who did.
func (p fakePeers) QueryRecentlyHeard(_ context.Context, machines []string) map[string]string {
	out := map[string]string{}
	for node, registry := range p.reachableRegistries() {
		if !registry.HasFreshState() {
			continue
		}
		for _, machine := range registry.RecentlyHeard(machines) {
			out[machine] = node
		}
	}
	return out
}

// QueryImages gives the machines that hold an image, by image, as other controllers know them.
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

// reachableRegistries gives the registries of the other controllers that can be reached, by their names.
func (p fakePeers) reachableRegistries() map[string]peerrpc.AgentRegistry {
	p.region.mu.Lock()
	defer p.region.mu.Unlock()
	out := map[string]peerrpc.AgentRegistry{}
	for _, other := range p.region.controllers {
		if other == p.self || !other.isAlive() {
			continue
		}
		if _, cut := p.region.Network.activePartition(p.self.Settings.Node, other.Settings.Node); !cut {
			out[other.Settings.Node] = other.registry
		}
	}
	return out
}
