package simulation

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
)

const (
	maxMachinesPerRental   = 50
	maxMachinesPerDeletion = 100
	// namesPerRental is the number of machine names reserved for each rental, so that no two rentals share a name.
	namesPerRental = 100
	// machinesPerBootFailure is the average number of rented machines of which one never boots.
	machinesPerBootFailure = 20
	// maxListings is the number of past listings that the cloud keeps, as it answers with outdated ones.
	maxListings = 60
)

// fakeCloud is a fake of the cloud that rents out machines. It returns outdated listings, runs out of capacity, and
// reclaims machines. The region's lock guards it.
type fakeCloud struct {
	region               *Region
	machineTypes         []wire.MachineType
	machinePrefix        string
	capacity             map[machineKind]int // machines that can still be rented
	machines             []*cloudMachine
	rentals              map[string][]string // machine names by the name of their rental
	listings             []cloudListing      // oldest first
	outageUntil          time.Time
	zoneUnavailableUntil map[string]time.Time // by zone: no machine can be rented before this time
	fastBootUntil        time.Time            // machines rented before this time boot within two seconds
}

// machineKind is a group of machines with a capacity of its own.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// cloudMachine is a rented machine in the cloud's records.
type cloudMachine struct {
	wire.CloudMachine
	rental   string
	kind     machineKind
	rentedAt time.Time
	bootedAt time.Time // zero: it never boots
}

// cloudListing is the list of all machines at one time.
type cloudListing struct {
	takenAt  time.Time
	machines []wire.CloudMachine
}

func newFakeCloud(region *Region, options RegionOptions) *fakeCloud {
	cloud := &fakeCloud{
		region:               region,
		machineTypes:         options.MachineTypes,
		machinePrefix:        options.MachinePrefix,
		capacity:             map[machineKind]int{},
		rentals:              map[string][]string{},
		zoneUnavailableUntil: map[string]time.Time{},
	}
	for _, machineType := range options.MachineTypes {
		for _, zone := range machineType.Zones {
			cloud.capacity[machineKind{machineType.Name, zone, true}] = options.CapacityPerKind
			cloud.capacity[machineKind{machineType.Name, zone, false}] = options.CapacityPerKind
		}
	}
	return cloud
}

// ServeHTTP serves the cloud's HTTP API.
func (c *fakeCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.region.mu.Lock()
	defer c.region.mu.Unlock()
	if time.Now().Before(c.outageUntil) {
		wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "cloud outage"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		wire.WriteResponse(w, http.StatusOK, wire.Catalog{Types: c.machineTypes})
	case r.URL.Path == "/machines/return":
		c.serveDeletion(w, body)
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		c.serveRental(w, body)
	case r.URL.Path == "/machines":
		c.serveListing(w, r.URL.Query().Get("after"))
	default:
		wire.WriteResponse(w, http.StatusBadRequest, nil)
	}
}

func (c *fakeCloud) serveDeletion(w http.ResponseWriter, body []byte) {
	var request wire.MachineNames
	if wire.Decode(body, &request) != nil || len(request.Names) > maxMachinesPerDeletion {
		wire.WriteResponse(w, http.StatusBadRequest, nil)
		return
	}
	for _, name := range request.Names {
		c.region.removeMachine(name)
	}
	w.WriteHeader(http.StatusOK)
}

// serveListing answers with the newest listing that is older than a random lag of 0.5 to 2 times the configured one,
// or with an empty list if there is none.
func (c *fakeCloud) serveListing(w http.ResponseWriter, after string) {
	now := time.Now()
	lag := config.ToDuration(c.region.Settings.Deployment.Cloud.ListLagS * (0.5 + c.region.random.Float64()*1.5))
	page := wire.MachinePage{Machines: []wire.CloudMachine{}}
	for _, listing := range slices.Backward(c.listings) {
		if now.Sub(listing.takenAt) < lag {
			continue
		}
		for _, machine := range listing.machines {
			if machine.ID > after {
				page.Machines = append(page.Machines, machine)
			}
		}
		break
	}
	wire.WriteResponse(w, http.StatusOK, page)
}

func (c *fakeCloud) serveRental(w http.ResponseWriter, body []byte) {
	var request wire.RentalRequest
	if wire.Decode(body, &request) != nil || request.Name == "" ||
		request.Count < 1 || request.Count > maxMachinesPerRental {
		wire.WriteResponse(w, http.StatusBadRequest, nil)
		return
	}
	if names, ok := c.rentals[request.Name]; ok {
		c.checkRepeatedRental(&request)
		wire.WriteResponse(w, http.StatusOK, wire.MachineNames{Names: names})
		return
	}
	kind := machineKind{request.MachineType, request.Zone, request.Spot}
	count := min(request.Count, c.capacity[kind])
	if count <= 0 || time.Now().Before(c.zoneUnavailableUntil[request.Zone]) {
		wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "no capacity"})
		return
	}
	c.capacity[kind] -= count
	names := []string{}
	for range count {
		name := fmt.Sprintf("%svm-%06d", c.machinePrefix, len(c.rentals)*namesPerRental+len(names)+1)
		c.machines = append(c.machines, c.newMachine(name, request.Name, kind))
		names = append(names, name)
	}
	c.rentals[request.Name] = names
	wire.WriteResponse(w, http.StatusOK, wire.MachineNames{Names: names})
}

// checkRepeatedRental records a violation if the name of an earlier rental is used for another machine type or zone.
func (c *fakeCloud) checkRepeatedRental(request *wire.RentalRequest) {
	for _, machine := range c.machines {
		if machine.rental == request.Name &&
			(machine.MachineType != request.MachineType || machine.Zone != request.Zone) {
			c.region.Checker.AddViolation(RuleProtocol, "rental name used twice: "+request.Name)
		}
	}
}

// newMachine creates a rented machine with a random boot time: 3 to 8 s, or 0.2 to 1.9 s while the fast boot fault is
// active. One machine in machinesPerBootFailure never boots.
func (c *fakeCloud) newMachine(name, rental string, kind machineKind) *cloudMachine {
	now := time.Now()
	machine := &cloudMachine{
		CloudMachine: wire.CloudMachine{
			ID:          name,
			Address:     strings.Replace(name, "vm-", "worker-", 1) + ":9000",
			MachineType: kind.machineType,
			Zone:        kind.zone,
			Spot:        kind.spot,
			State:       wire.MachineBooting,
		},
		rental:   rental,
		kind:     kind,
		rentedAt: now,
	}
	random := c.region.random
	if random.IntN(machinesPerBootFailure) == 0 {
		return machine
	}
	machine.bootedAt = now.Add(config.ToDuration(5 * (0.6 + random.Float64())))
	if now.Before(c.fastBootUntil) {
		machine.bootedAt = now.Add(config.ToDuration(0.2 + 1.7*random.Float64()))
	}
	return machine
}

// takeListing stores a listing of all machines in their current state.
func (c *fakeCloud) takeListing(now time.Time) {
	listing := cloudListing{takenAt: now}
	for _, machine := range c.machines {
		row := machine.CloudMachine
		row.AgeSeconds = now.Sub(machine.rentedAt).Seconds()
		listing.machines = append(listing.machines, row)
	}
	c.listings = append(c.listings, listing)
	if len(c.listings) > maxListings {
		c.listings = c.listings[1:]
	}
}

// remove removes a machine from the list and frees its capacity.
func (c *fakeCloud) remove(name string) {
	c.machines = slices.DeleteFunc(c.machines, func(machine *cloudMachine) bool {
		if machine.ID != name {
			return false
		}
		c.capacity[machine.kind]++
		return true
	})
}

// markFailed marks a machine as failed in the list.
func (c *fakeCloud) markFailed(name string) {
	for _, machine := range c.machines {
		if machine.ID == name {
			machine.State = wire.MachineFailed
		}
	}
}

func (c *fakeCloud) machineType(name string) wire.MachineType {
	for _, machineType := range c.machineTypes {
		if machineType.Name == name {
			return machineType
		}
	}
	return wire.MachineType{}
}
