package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// pool is a kind of machine that the cloud rents out: type, zone, and spot or ordinary.
type pool struct {
	hull, zone string
	spot       bool
}

// cloudMachine is a rented machine.
type cloudMachine struct {
	id        string
	pool      pool
	rentedAt  time.Time
	runningAt time.Time
	goneAt    time.Time // zero while it exists
	address   string
}

// cloud stands in for the cloud.
type cloud struct {
	mu       sync.Mutex
	types    []wire.MachineType
	capacity map[pool]int
	rented   map[string][]string // by charter
	machines map[string]*cloudMachine
	nextID   int
	lag      time.Duration
	boot     time.Duration         // time until a machine is up
	onBoot   func(m *cloudMachine) // called when a machine is up
	onReturn func(id string)       // called before the answer to a deletion
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteResponse(w, http.StatusOK, wire.Catalog{Types: c.types})
	})
	mux.HandleFunc("POST /machines", c.rent)
	mux.HandleFunc("POST /machines/return", c.giveBack)
	mux.HandleFunc("GET /machines", c.list)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body, 1<<16)
	var request wire.RentalRequest
	if err == nil {
		err = wire.Decode(body, &request)
	}
	if err != nil || request.Count < 1 || request.Count > 50 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fleet, known := c.rented[request.Name]
	if !known {
		fleet = c.take(pool{request.MachineType, request.Zone, request.Spot}, request.Count)
		if len(fleet) == 0 {
			wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "no capacity"})
			return
		}
		c.rented[request.Name] = fleet
	}
	wire.WriteResponse(w, http.StatusOK, wire.MachineNames{Names: fleet})
}

// take rents up to count machines. The caller holds mu.
func (c *cloud) take(from pool, count int) []string {
	var fleet []string
	for range min(count, c.capacity[from]) {
		c.capacity[from]--
		c.nextID++
		m := &cloudMachine{id: fmt.Sprintf("vm-%06d", c.nextID), pool: from, rentedAt: time.Now()}
		c.machines[m.id] = m
		fleet = append(fleet, m.id)
		time.AfterFunc(c.boot, func() { c.finishBoot(m) })
	}
	return fleet
}

func (c *cloud) finishBoot(m *cloudMachine) {
	c.mu.Lock()
	gone := !m.goneAt.IsZero()
	m.runningAt = time.Now()
	c.mu.Unlock()
	if !gone {
		c.onBoot(m)
	}
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body, 1<<16)
	var request wire.MachineNames
	if err == nil {
		err = wire.Decode(body, &request)
	}
	if err != nil || len(request.Names) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, id := range request.Names {
		c.remove(id)
	}
	w.WriteHeader(http.StatusOK)
}

// remove ends a machine.
func (c *cloud) remove(id string) {
	c.onReturn(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[id]; m != nil && m.goneAt.IsZero() {
		m.goneAt = time.Now()
		c.capacity[m.pool]++
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	page, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || page <= 0 || page > 500 {
		page = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	as := time.Now().Add(-c.lag)
	var ids []string
	for id, m := range c.machines {
		isListed := m.rentedAt.Before(as) && (m.goneAt.IsZero() || m.goneAt.After(as))
		if id > after && isListed {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	fleet := []wire.CloudMachine{}
	for _, id := range ids[:min(page, len(ids))] {
		m := c.machines[id]
		state := wire.MachineBooting
		if !m.runningAt.IsZero() && m.runningAt.Before(as) {
			state = wire.MachineRunning
		}
		fleet = append(fleet, wire.CloudMachine{
			ID: id, Address: m.address, MachineType: m.pool.hull, Zone: m.pool.zone, Spot: m.pool.spot, State: state,
			AgeSeconds: as.Sub(m.rentedAt).Seconds(),
		})
	}
	wire.WriteResponse(w, http.StatusOK, wire.MachinePage{Machines: fleet, HasMore: len(ids) > page})
}
