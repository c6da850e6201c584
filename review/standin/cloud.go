package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// cloud rents machines. It is safe for concurrent use.
type cloud struct {
	types    []wire.MachineType
	lag      time.Duration
	capacity int // machines of each type, zone and kind
	boot     time.Duration
	// start is called when a machine is up, and stop when it is gone. They are set before the first request.
	start func(wire.CloudMachine)
	stop  func(name string)

	mu       sync.Mutex // guards the fields below
	calls    bucket
	last     int
	machines []*rentedMachine
	charters map[string][]string
	outage   bool
}

// rentedMachine is a machine in the cloud's books.
type rentedMachine struct {
	wire.CloudMachine
	rentedAt time.Time
	upAt     time.Time
	goneAt   time.Time // zero while it is there
}

func newCloud(types []wire.MachineType, rps float64, lag time.Duration, capacity int) *cloud {
	return &cloud{
		types: types, lag: lag, capacity: capacity, boot: 1500 * time.Millisecond,
		calls: bucket{2 * rps, 2 * rps, time.Now()}, charters: map[string][]string{},
	}
}

func (c *cloud) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		status, answer := c.serve(r, body)
		wire.WriteResponse(w, status, answer)
	})
}

func (c *cloud) serve(r *http.Request, body []byte) (status int, answer any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.outage:
		return http.StatusServiceUnavailable, wire.ErrorResponse{Message: "trouble"}
	case !c.calls.take(1):
		return http.StatusTooManyRequests, nil
	case r.URL.Path == "/catalog":
		return http.StatusOK, wire.Catalog{Types: c.types}
	case r.URL.Path == "/machines/return":
		return c.giveBack(body)
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		return c.rent(body)
	case r.URL.Path == "/machines":
		return c.list(r.URL.Query())
	}
	return http.StatusBadRequest, nil
}

func (c *cloud) rent(body []byte) (status int, answer any) {
	var request wire.RentalRequest
	if wire.Decode(body, &request) != nil || request.Name == "" || request.Count < 1 || request.Count > 50 {
		return http.StatusBadRequest, nil
	}
	if names, ok := c.charters[request.Name]; ok {
		return http.StatusOK, wire.MachineNames{Names: names}
	}
	used := 0
	for _, machine := range c.machines {
		if machine.goneAt.IsZero() && machine.MachineType == request.MachineType && machine.Zone == request.Zone &&
			machine.Spot == request.Spot {
			used++
		}
	}
	count := min(request.Count, c.capacity-used)
	if count <= 0 {
		return http.StatusServiceUnavailable, wire.ErrorResponse{Message: "no capacity"}
	}
	names := []string{}
	for range count {
		c.last++
		now := time.Now()
		machine := &rentedMachine{rentedAt: now, upAt: now.Add(c.boot), CloudMachine: wire.CloudMachine{
			ID: fmt.Sprintf("vm-%06d", c.last), MachineType: request.MachineType, Zone: request.Zone,
			Spot: request.Spot, State: wire.MachineBooting,
		}}
		machine.Address = freeAddress()
		c.machines = append(c.machines, machine)
		names = append(names, machine.ID)
		time.AfterFunc(c.boot, func() { c.bootMachine(machine) })
	}
	c.charters[request.Name] = names
	return http.StatusOK, wire.MachineNames{Names: names}
}

func (c *cloud) bootMachine(machine *rentedMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if machine.goneAt.IsZero() {
		machine.State = wire.MachineRunning
		c.start(machine.CloudMachine)
	}
}

func (c *cloud) giveBack(body []byte) (status int, answer any) {
	var request wire.MachineNames
	if wire.Decode(body, &request) != nil || len(request.Names) > 100 {
		return http.StatusBadRequest, nil
	}
	for _, name := range request.Names {
		for _, machine := range c.machines {
			if machine.ID == name && machine.goneAt.IsZero() {
				machine.goneAt = time.Now()
				c.stop(name)
			}
		}
	}
	return http.StatusOK, wire.MachineNames{Names: []string{}}
}

// list answers with the machines as they were one lag ago.
func (c *cloud) list(query url.Values) (status int, answer any) {
	asOf := time.Now().Add(-c.lag)
	size, _ := strconv.Atoi(query.Get("page"))
	size = min(max(size, 1), 500)
	page := wire.MachinePage{Machines: []wire.CloudMachine{}}
	for _, machine := range c.machines {
		gone := !machine.goneAt.IsZero() && machine.goneAt.Before(asOf)
		if machine.rentedAt.After(asOf) || gone || machine.ID <= query.Get("after") {
			continue
		}
		if len(page.Machines) == size {
			page.HasMore = true
			break
		}
		row := machine.CloudMachine
		row.AgeSeconds = asOf.Sub(machine.rentedAt).Seconds()
		row.State = wire.MachineBooting
		if machine.upAt.Before(asOf) {
			row.State = wire.MachineRunning
		}
		page.Machines = append(page.Machines, row)
	}
	return http.StatusOK, page
}
