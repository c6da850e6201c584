package simulation

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

const (
	heartbeatTimeout = 4 * time.Second
	// statusChangeDelay is how soon after the last heartbeat a change of status is sent.
	statusChangeDelay = 500 * time.Millisecond
	// heartbeatRetryDelay passes after a heartbeat without an answer, redirectDelay after a redirect.
	heartbeatRetryDelay = time.Second
	redirectDelay       = 100 * time.Millisecond

	pathHeartbeat = "/agent/beat"
)

// sentHeartbeat is a heartbeat on its way.
type sentHeartbeat struct {
	body            []byte
	sentAt          time.Time
	session         uint64
	controllerIndex int
	outboundLost    bool
}

// heartbeatOutcome is what an agent does after a heartbeat.
type heartbeatOutcome int

// Outcomes of a heartbeat.
const (
	heartbeatAccepted heartbeatOutcome = iota
	heartbeatRedirected
	heartbeatFailed
)

// heartbeatLoop sends heartbeats until the machine is removed.
func (a *fakeAgent) heartbeatLoop(ctx context.Context) {
	transport := a.region.Network.Transport(a.name, alwaysAlive)
	for ctx.Err() == nil {
		removed, due := a.heartbeatDue()
		if removed {
			return
		}
		if !due {
			time.Sleep(agentStep)
			continue
		}
		switch a.exchangeHeartbeat(ctx, transport) {
		case heartbeatRedirected:
			time.Sleep(redirectDelay)
		case heartbeatFailed:
			time.Sleep(heartbeatRetryDelay)
		}
	}
}

// heartbeatDue draws the interval at which the next heartbeat is due.
func (a *fakeAgent) heartbeatDue() (removed, due bool) {
	a.region.mu.Lock()
	defer a.region.mu.Unlock()
	interval := config.ToDuration(a.region.Settings.Deployment.Workers.ReportS * (0.75 + a.region.random.Float64()/2))
	elapsed := time.Since(a.lastHeartbeat)
	due = !a.hung() && (elapsed >= interval || a.statusChanged && elapsed >= statusChangeDelay)
	return a.removed, due
}

// exchangeHeartbeat sends a heartbeat and executes the commands in the answer. Without an answer, the next one
// goes to another controller.
func (a *fakeAgent) exchangeHeartbeat(ctx context.Context, transport http.RoundTripper) heartbeatOutcome {
	heartbeat := a.newHeartbeat(ctx)
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if heartbeat.outboundLost {
		<-ctx.Done()
		return a.tryNextController(heartbeat.controllerIndex)
	}
	address := a.region.controllers[heartbeat.controllerIndex].Address
	status, body, err := postHeartbeat(ctx, transport, address, heartbeat.body)
	if err != nil {
		return a.tryNextController(heartbeat.controllerIndex)
	}
	outcome, lost := a.handleResponse(heartbeat, status, body)
	if lost {
		<-ctx.Done()
	}
	if outcome == heartbeatFailed {
		return a.tryNextController(heartbeat.controllerIndex)
	}
	return outcome
}

// newHeartbeat makes the next heartbeat, and gives it to the faults that keep copies.
func (a *fakeAgent) newHeartbeat(ctx context.Context) sentHeartbeat {
	a.region.mu.Lock()
	defer a.region.mu.Unlock()
	a.statusChanged = false
	a.lastHeartbeat = time.Now()
	heartbeat := sentHeartbeat{
		body:            wire.MustEncode(a.status()),
		sentAt:          time.Now(),
		session:         a.session,
		controllerIndex: a.controllerIndex,
		outboundLost:    a.outboundLost(),
	}
	if a.region.heartbeats.duplicates.occurs() {
		address := a.region.controllers[a.controllerIndex].Address
		a.region.redeliverLater(ctx, a.name, address, heartbeat.body)
	}
	a.region.captureHeartbeat(a.name, heartbeat.body)
	return heartbeat
}

func postHeartbeat(
	ctx context.Context, transport http.RoundTripper, address string, body []byte,
) (status int, answer []byte, err error) {
	url := "http://" + address + pathHeartbeat
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	answer, err = io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	return response.StatusCode, answer, err
}

// tryNextController lets the next heartbeat go to the next controller, at once.
func (a *fakeAgent) tryNextController(failedIndex int) heartbeatOutcome {
	a.region.mu.Lock()
	defer a.region.mu.Unlock()
	a.controllerIndex = (failedIndex + 1) % len(a.region.controllers)
	a.lastHeartbeat = time.Time{}
	return heartbeatFailed
}

// handleResponse acts on the answer to a heartbeat, unless it is lost on its way or comes too late.
func (a *fakeAgent) handleResponse(
	heartbeat sentHeartbeat, status int, body []byte,
) (outcome heartbeatOutcome, lost bool) {
	a.region.mu.Lock()
	defer a.region.mu.Unlock()
	switch {
	case a.inboundLost():
		return heartbeatFailed, true
	case a.hung() || a.removed:
		return heartbeatFailed, false
	case status == http.StatusOK:
		a.accept(heartbeat, body)
		return heartbeatAccepted, false
	case status == http.StatusMisdirectedRequest && a.redirect(heartbeat.controllerIndex, body):
		return heartbeatRedirected, false
	}
	return heartbeatFailed, false
}

// accept renews the lease and executes the commands, unless the answer is about an earlier session or of an
// owner that was replaced.
func (a *fakeAgent) accept(heartbeat sentHeartbeat, body []byte) {
	var response wire.HeartbeatResponse
	if wire.Decode(body, &response) != nil || heartbeat.session != a.session ||
		response.FencingToken < a.fencingToken {
		return
	}
	a.statusChanged = a.statusChanged || response.FencingToken > a.fencingToken
	a.fencingToken = response.FencingToken
	a.leaseRenewedAt = heartbeat.sentAt
	a.executeCommands(response.Commands)
}

// redirect lets the next heartbeat go where the answer says; false if that is no other controller.
func (a *fakeAgent) redirect(fromIndex int, body []byte) bool {
	var response wire.HeartbeatRedirect
	_ = wire.Decode(body, &response)
	index := slices.IndexFunc(a.region.controllers, func(controller *Controller) bool {
		return controller.Settings.Node == response.ControllerAddress
	})
	if index < 0 || index == fromIndex {
		return false
	}
	a.controllerIndex = index
	a.lastHeartbeat = time.Time{}
	return true
}
