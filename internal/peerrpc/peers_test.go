package peerrpc

import (
	"testing"

	"sableusher/internal/config"
)

// TestQueriesCombinePeerResponses: heartbeats reported by a node whose cluster state is not recent are ignored, the
// images of all nodes that respond are combined, and a node that does not respond is skipped.
func TestQueriesCombinePeerResponses(t *testing.T) {
	recent := fakeRegistry{
		machinesWithHeartbeats: []string{"vm-1"},
		hasFreshState:          true,
		machinesByImage:        map[string][]string{"i": {"vm-1"}},
	}
	outdated := fakeRegistry{
		machinesWithHeartbeats: []string{"vm-2"},
		machinesByImage:        map[string][]string{"i": {"vm-2"}, "j": {"vm-3"}},
	}
	transport := newTestTransport(t, &config.Settings{Node: "a", Peers: []config.Peer{
		{Node: "b", Endpoint: serve(t, &service{registry: recent})},
		{Node: "c", Endpoint: serve(t, &service{registry: outdated})},
		{Node: "d", Endpoint: unreachableEndpoint},
	}})
	nodeByMachine := transport.QueryRecentReports(t.Context(), []string{"vm-1", "vm-2", "vm-9"})
	if len(nodeByMachine) != 1 || nodeByMachine["vm-1"] != "b" {
		t.Errorf("nodes by machine: %v, want only vm-1 at node b", nodeByMachine)
	}
	images := transport.QueryImages(t.Context())
	if len(images) != 2 || !images["i"]["vm-1"] || !images["i"]["vm-2"] || !images["j"]["vm-3"] {
		t.Errorf("machines by image: %v", images)
	}
}
