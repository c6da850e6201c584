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

// newCommandClient returns a client that sends through transport. If transport is nil, the client uses the network
// and keeps at most tuning.AgentSocketShare of maxSockets idle connections open.
func newCommandClient(transport http.RoundTripper, maxSockets int) *commandClient {
	if transport == nil {
		keptConnections := max(1, int(tuning.AgentSocketShare*float64(maxSockets)))
		transport = wire.NewTransport(tuning.CommandTimeout, 1, keptConnections)
	}
	return &commandClient{http: &http.Client{Transport: transport}}
}

// commandResponse is an agent's response to a direct command.
type commandResponse struct {
	report wire.Heartbeat
	status int // http.StatusOK, or http.StatusConflict if the agent refused the command
}

// send posts a command to the agent at address and waits at most timeout for the response. An error does not mean
// that the command was lost: the agent may still carry it out minutes later.
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
	// An error from Close does not matter: by then the body has been read completely, or an error is returned.
	defer func() { _ = response.Body.Close() }()
	return readCommandResponse(response)
}

// readCommandResponse decodes a response. It returns a *CommandStatusError for any status other than 200 OK and 409
// Conflict.
func readCommandResponse(response *http.Response) (commandResponse, error) {
	body, err := wire.ReadBody(response.Body, tuning.HTTPBodyMaxBytes)
	if err != nil {
		return commandResponse{}, fmt.Errorf("direct command: %w", err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return commandResponse{}, &CommandStatusError{Status: response.StatusCode}
	}
	decoded := commandResponse{status: response.StatusCode}
	if err := wire.Decode(body, &decoded.report); err != nil {
		return commandResponse{}, fmt.Errorf("direct command: %w", err)
	}
	return decoded, nil
}
