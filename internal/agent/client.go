package agent

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// commandClient sends direct commands to agents over HTTP. It is safe for concurrent use.
type commandClient struct{ http *http.Client }

// newCommandClient makes a client that sends through the transport; nil: over the network, with at most the
// deployment's share of maxSockets kept open.
func newCommandClient(transport http.RoundTripper, maxSockets int) *commandClient {
	if transport == nil {
		keptConnections := max(1, int(tuning.AgentSocketShare*float64(maxSockets)))
		transport = wire.NewTransport(tuning.CommandTimeout, 1, keptConnections)
	}
	return &commandClient{http: &http.Client{Transport: transport}}
}

// commandResponse is an agent's answer to a direct command.
type commandResponse struct {
	report wire.Heartbeat
	status int // http.StatusOK, or http.StatusConflict if the agent refused the command
}

// send posts a command to the agent at an address and waits at most timeout for the answer. Without one the
// agent may carry the command out all the same, minutes later.
func (c *commandClient) send(
	ctx context.Context, address string, command *wire.CommandRequest, timeout time.Duration,
) (commandResponse, error) {
	body, err := wire.Encode(command)
	if err != nil {
		return commandResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return commandResponse{}, fmt.Errorf("direct command: %w", err)
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := c.http.Do(request)
	if err != nil {
		return commandResponse{}, fmt.Errorf("direct command: %w", err)
	}
	// Whatever closing fails with, the answer has been read whole or is an error already.
	defer func() { _ = response.Body.Close() }()
	return readCommandResponse(response)
}

// readCommandResponse decodes the answer; any status but OK and Conflict is a *CommandStatusError.
func readCommandResponse(response *http.Response) (commandResponse, error) {
	body, err := wire.ReadBody(response.Body, tuning.KVResponseMaxBytes)
	if err != nil {
		return commandResponse{}, fmt.Errorf("direct command: %w", err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return commandResponse{}, &CommandStatusError{Status: response.StatusCode}
	}
	answer := commandResponse{status: response.StatusCode}
	if err := wire.Decode(body, &answer.report); err != nil {
		return commandResponse{}, fmt.Errorf("direct command: %w", err)
	}
	return answer, nil
}
