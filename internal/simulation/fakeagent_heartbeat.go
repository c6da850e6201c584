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
	// statusChangeDelay is the minimum time between a heartbeat and the next one if the status has changed.
	statusChangeDelay = 500 * time.Millisecond
	// heartbeatRetryDelay is the delay before the next heartbeat if a heartbeat failed.
	heartbeatRetryDelay = time.Second
	// redirectDelay is the delay before the next heartbeat after a redirect.
	redirectDelay = 100 * time.Millisecond

	pathHeartbeat = "/agent/beat"
)

// sentHeartbeat is a heartbeat with the agent's state at the time of sending.
type sentHeartbeat struct {
	body            []byte
	sentAt          time.Time
	session         uint64
	controllerIndex int
	outboundLost    bool
}

// heartbeatOutcome is the result of sending a heartbeat.
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
			time.Sleep(advanceInterval)
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

// heartbeatDue reports whether the machine was removed, and whether the next heartbeat is due. It is due after a random
// interval of 0.75 to 1.25 times the configured one, which each call chooses again, or after statusChangeDelay if the
// status has changed. A machine that hangs sends no heartbeat.
func (a *fakeAgent) heartbeatDue() (removed, due bool) {
	a.region.mu.Lock()
	defer a.region.mu.Unlock()
	interval := config.ToDuration(a.region.Settings.Deployment.Workers.ReportS * (0.75 + a.region.random.Float64()/2))
	elapsed := time.Since(a.lastHeartbeat)
	due = !a.hung() && (elapsed >= interval || a.statusChanged && elapsed >= statusChangeDelay)
	return a.removed, due
}

// exchangeHeartbeat sends a heartbeat and executes the commands in the response. If the heartbeat fails, the next
// one goes to another controller.
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

// newHeartbeat creates the next heartbeat, and passes it to the faults that deliver copies of heartbeats.
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

// postHeartbeat sends a heartbeat to a controller, and returns the status code and body of the response.
func postHeartbeat(
	ctx context.Context, transport http.RoundTripper, address string, body []byte,
) (status int, responseBody []byte, err error) {
	url := "http://" + address + pathHeartbeat
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	responseBody, err = io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	return response.StatusCode, responseBody, err
}

// tryNextController directs the next heartbeat to the controller after the one that failed, and makes it due without
// waiting for the heartbeat interval. It always returns heartbeatFailed.
func (a *fakeAgent) tryNextController(failedIndex int) heartbeatOutcome {
	a.region.mu.Lock()
	defer a.region.mu.Unlock()
	a.controllerIndex = (failedIndex + 1) % len(a.region.controllers)
	a.lastHeartbeat = time.Time{}
	return heartbeatFailed
}

// handleResponse processes the response to a heartbeat. If the agent can't receive messages, lost is true and the
// response has no effect; if the agent hangs or was removed, the response is ignored.
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

// accept renews the lease and executes the commands of a response. It ignores a response to a heartbeat of an
// earlier session, and one whose fencing token is that of an owner that was replaced.
func (a *fakeAgent) accept(heartbeat sentHeartbeat, body []byte) {
	var response wire.HeartbeatResponse
	if wire.Decode(body, &response) != nil || heartbeat.session != a.session ||
		response.FencingToken < a.fencingToken {
		return
	}
	a.raiseToken(response.FencingToken)
	a.leaseRenewedAt = heartbeat.sentAt
	a.executeCommands(response.Commands)
}

// raiseToken records the fencing token of a response. A higher token counts as a change of the status at most once in
// half the duration of a lease.
func (a *fakeAgent) raiseToken(fencingToken uint64) {
	now := time.Now()
	if fencingToken > a.fencingToken && now.Sub(a.tokenReportedAt) >= a.region.Settings.LeaseDuration()/2 {
		a.statusChanged, a.tokenReportedAt = true, now
	}
	a.fencingToken = fencingToken
}

// redirect directs the next heartbeat to the controller that a response names. It returns false if that is not a
// known controller, or the one that sent the response.
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
