package peerrpc

import (
	"context"
	"sync"
	"time"

	"sableusher/internal/peerrpc/peerpb"
)

// QueryRecentReports asks all other nodes which of the machines' agents have sent them a heartbeat recently. It
// returns, by machine, the name of a node that received one. Responses of nodes whose cluster state is not recent are
// ignored.
func (t *Transport) QueryRecentReports(ctx context.Context, machines []string) map[string]string {
	nodeByMachine := map[string]string{}
	call := func(ctx context.Context, client peerpb.PeerClient) (*peerpb.HeardReply, error) {
		return client.Heard(ctx, &peerpb.HeardRequest{Node: t.nodeName, Machines: machines})
	}
	callAll(ctx, t, call, func(node string, response *peerpb.HeardReply) {
		if !response.GetFresh() {
			return
		}
		for _, machine := range response.GetHeard() {
			nodeByMachine[machine] = node
		}
	})
	return nodeByMachine
}

// QueryImages asks all other nodes which images their machines are likely to hold. It returns the set of machines by
// image.
func (t *Transport) QueryImages(ctx context.Context) map[string]map[string]bool {
	machinesByImage := map[string]map[string]bool{}
	call := func(ctx context.Context, client peerpb.PeerClient) (*peerpb.ImagesReply, error) {
		return client.Images(ctx, &peerpb.ImagesRequest{Node: t.nodeName})
	}
	callAll(ctx, t, call, func(_ string, response *peerpb.ImagesReply) {
		for _, image := range response.GetImages() {
			machines := machinesByImage[image.GetName()]
			if machines == nil {
				machines = map[string]bool{}
				machinesByImage[image.GetName()] = machines
			}
			for _, machine := range image.GetMachines() {
				machines[machine] = true
			}
		}
	})
	return machinesByImage
}

// LastResponseAt returns the time of the last response from a node; zero if it has never responded.
func (t *Transport) LastResponseAt(node string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastResponseAt[node]
}

func (t *Transport) recordResponse(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastResponseAt[node] = time.Now()
}

// callAll calls all other nodes concurrently and waits until each has responded or failed, for at most the call
// timeout. It passes the responses to collect, one at a time. Failed calls are only logged.
func callAll[Response any](ctx context.Context, t *Transport,
	call func(context.Context, peerpb.PeerClient) (Response, error), collect func(node string, response Response),
) {
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	var (
		collecting sync.Mutex // serializes the calls of collect
		calls      sync.WaitGroup
	)
	for node, client := range t.peerClients {
		calls.Go(func() {
			start := time.Now()
			response, err := call(ctx, client)
			if err != nil {
				t.logger.Debug("peer call failed", "node", node, "err", err, "duration", time.Since(start))
				return
			}
			t.recordResponse(node)
			collecting.Lock()
			defer collecting.Unlock()
			collect(node, response)
		})
	}
	calls.Wait()
}
