package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/controller"
	"sableusher/internal/offload"
	"sableusher/internal/peerrpc"
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// Controller is a node under test, with the process that runs it.
type Controller struct {
	answer        peerrpc.CellHandler // to other cells, if it is one of several
	Settings      *config.Settings
	Address       string
	SchemaVersion int // of the version that it runs; set before Start
	stop          context.CancelFunc
	alive         *atomic.Bool
	exited        chan struct{}
	witness       peerrpc.AgentRegistry
}

// fakePeers stands in for gRPC between controllers.
type fakePeers struct {
	region *Region
	self   *Controller
}

// SetCellHandler keeps what answers other cells.
func (p fakePeers) SetCellHandler(a peerrpc.CellHandler) {
	p.region.mu.Lock()
	defer p.region.mu.Unlock()
	p.self.answer = a
}

// Exchange asks another cell, over the links between them.
func (p fakePeers) Exchange(ctx context.Context, to config.Cell, m offload.Message) (offload.Message, error) {
	if p.region.Federation == nil {
		return offload.Message{}, errConnectionReset
	}
	return p.region.Federation.exchange(ctx, to.Name, m)
}

func (p fakePeers) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// reachableWitnesses gives the witnesses of the nodes that can be reached.
func (p fakePeers) reachableWitnesses() map[string]peerrpc.AgentRegistry {
	p.region.mu.Lock()
	defer p.region.mu.Unlock()
	out := map[string]peerrpc.AgentRegistry{}
	for _, c := range p.region.controllers {
		if c != p.self && c.alive != nil && c.alive.Load() {
			if _, cut := p.region.Network.activePartition(p.self.Settings.Node, c.Settings.Node); !cut {
				out[c.Settings.Node] = c.witness
			}
		}
	}
	return out
}

func (p fakePeers) LastAnswered(node string) time.Time {
	if _, ok := p.reachableWitnesses()[node]; ok {
		return time.Now()
	}
	return time.Time{}
}

func (p fakePeers) QueryRecentlyHeard(_ context.Context, machines []string) map[string]string {
	out := map[string]string{}
	for node, w := range p.reachableWitnesses() {
		if !w.HasFreshState() {
			continue
		}
		for _, m := range w.RecentlyHeard(machines) {
			out[m] = node
		}
	}
	return out
}

func (p fakePeers) QueryImages(context.Context) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, w := range p.reachableWitnesses() {
		for image, machines := range w.MachinesByImage() {
			if out[image] == nil {
				out[image] = map[string]bool{}
			}
			for _, m := range machines {
				out[image][m] = true
			}
		}
	}
	return out
}

// Region is a whole deployment of stand-ins around real controllers.
type Region struct {
	Settings *config.Settings
	Network  *FakeNetwork
	KV       *FakeKV
	Checker  *InvariantChecker
	Log      *slog.Logger
	// ConfigureOperator changes the operators' settings, as every node that starts reads them.
	ConfigureOperator func(*config.Operator)
	// ConfirmsCancellationsEarly plants a defect: cancellations are told to users before they are certain.
	ConfirmsCancellationsEarly bool
	// Federation are the region's and others, if it is one of several; Prefix tells its machines apart.
	Federation    *Federation
	MachinePrefix string

	ctx         context.Context
	wg          sync.WaitGroup
	controllers []*Controller

	mu                  sync.Mutex
	random              *rand.Rand
	machineTypes        []wire.MachineType
	capacity            map[string]int // by type, zone and kind
	machines            []*cloudMachine
	rentals             map[string][]string
	listings            []listing
	cloudOutageUntil    time.Time
	zoneClosedUntil     map[string]time.Time // zones in which the cloud rents nothing until then
	agents              map[string]*fakeAgent
	checkpointed        map[record.TaskRef]bool
	runSeconds          map[string]float64
	taskFailures        map[record.TaskRef]int       // failures that tasks still have before them
	duplicateHeartbeats faultRate                    // reports of which a copy arrives again
	HeartbeatCopies     int                          // such copies so far
	heartbeatCapture    faultRate                    // reports of which a copy is kept for the next leader
	capturedHeartbeats  map[string]capturedHeartbeat // the last one kept of each worker
	fastBootUntil       time.Time                    // machines rented until then are up within two seconds
	cancelAtCompletion  faultRate                    // jobs that end and are called off at that moment
	probesUntil         time.Time                    // until when users ask at all nodes right after an answer
}

type cloudMachine struct {
	wire.CloudMachine
	rental      string
	capacityKey string
	rentedAt    time.Time
	bootedAt    time.Time
}

type listing struct {
	takenAt  time.Time
	machines []wire.CloudMachine
}

// NewRegion starts a region: cloud, state service and network, without nodes.
func NewRegion(ctx context.Context, settings *config.Settings, machineTypes []wire.MachineType, capacityPerKind int, random *rand.Rand, log *slog.Logger) *Region {
	return newRegionWithChecker(ctx, settings, machineTypes, capacityPerKind, random, log, NewInvariantChecker(settings))
}

// newRegionWithChecker starts a region under an oracle that may watch others too.
func newRegionWithChecker(ctx context.Context, settings *config.Settings, machineTypes []wire.MachineType, capacityPerKind int, random *rand.Rand, log *slog.Logger, checker *InvariantChecker) *Region {
	deployment := &settings.Deployment
	r := &Region{Settings: settings, Network: NewFakeNetwork(rand.New(rand.NewPCG(random.Uint64(), 1))), Checker: checker, Log: log,
		KV:  NewFakeKV(deployment.State.RPS, deployment.State.WriteRPS, deployment.State.TxnOps, deployment.State.ValueKB, 600),
		ctx: ctx, random: random, machineTypes: machineTypes, capacity: map[string]int{}, rentals: map[string][]string{},
		agents: map[string]*fakeAgent{}, zoneClosedUntil: map[string]time.Time{}, checkpointed: map[record.TaskRef]bool{}, runSeconds: map[string]float64{}, taskFailures: map[record.TaskRef]int{}, capturedHeartbeats: map[string]capturedHeartbeat{}}
	for _, t := range machineTypes {
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				r.capacity[capacityKey(t.Name, z, spot)] = capacityPerKind
			}
		}
	}
	up := func() bool { return true }
	r.Network.Listen(settings.Outside.State, &Host{"state", r.KV, up})
	r.Network.Listen(settings.Outside.Cloud, &Host{"cloud", http.HandlerFunc(r.serveCloud), up})
	r.wg.Go(func() { r.advanceLoop(ctx) })
	return r
}

// Wait returns once all routines of the region have ended.
func (r *Region) Wait() { r.wg.Wait() }

func capacityKey(typ, zone string, spot bool) string { return fmt.Sprint(typ, "|", zone, "|", spot) }

// AddController adds a controller and starts it.
func (r *Region) AddController(settings *config.Settings) {
	r.controllers = append(r.controllers, &Controller{Settings: settings, Address: settings.Listen, SchemaVersion: tuning.Level})
	r.StartController(len(r.controllers) - 1)
}

// StartController runs controller i as a new process.
func (r *Region) StartController(index int) {
	process := r.controllers[index]
	ctx, cancel := context.WithCancel(r.ctx)
	alive := &atomic.Bool{}
	alive.Store(true)
	operator, err := config.LoadOperator("")
	if err != nil {
		panic(err)
	}
	if r.ConfigureOperator != nil {
		r.ConfigureOperator(operator)
	}
	r.mu.Lock()
	incarnation := r.random.Uint64N(1<<40) + 1
	r.mu.Unlock()
	var witness peerrpc.AgentRegistry
	node, err := controller.New(controller.Config{
		Settings: process.Settings, Operator: operator, Incarnation: incarnation, SchemaVersion: process.SchemaVersion,
		Transport: r.Network.Transport(process.Settings.Node, alive.Load),
		ConnectPeers: func(agents peerrpc.AgentRegistry) (controller.PeerTransport, error) {
			witness = agents
			return fakePeers{r, process}, nil
		},
		Logger: r.Log.With("node", process.Settings.Node),
	})
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	process.stop, process.alive, process.exited, process.witness = cancel, alive, make(chan struct{}), witness
	r.mu.Unlock()
	r.Network.Listen(process.Address, &Host{process.Settings.Node, node.Handler(), func() bool { return true }})
	ended := process.exited
	r.wg.Go(func() {
		_ = node.Run(ctx)
		close(ended)
	})
}

// KillController ends controller i's process without warning.
func (r *Region) KillController(index int) {
	controller := r.controllers[index]
	controller.alive.Store(false)
	r.Network.Listen(controller.Address, nil)
	controller.stop()
	<-controller.exited
}

// ControllerCount is the number of controllers.
func (r *Region) ControllerCount() int { return len(r.controllers) }

// SetRunTime sets how long a job's tasks run.
func (r *Region) SetRunTime(job string, seconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runSeconds[job] = seconds
}

// InjectTaskFailures lets a task fail by itself so many times before it can complete.
func (r *Region) InjectTaskFailures(ref record.TaskRef, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taskFailures[ref] = times
}

func (r *Region) remainingRunTime(ref record.TaskRef, spec *wire.JobSpec) time.Duration {
	seconds := r.runSeconds[spec.ID]
	if r.checkpointed[ref] {
		seconds /= 2
	}
	return config.Seconds(seconds)
}

type gangMember struct {
	agent   *fakeAgent
	attempt attempt
	task    *agentTask
}

// gangMembers are the tasks of a gang's attempt that have come together.
func (r *Region) gangMembers(member attempt) []gangMember {
	var out []gangMember
	for _, w := range r.agents {
		if w.hung() {
			continue
		}
		for o, t := range w.tasks {
			if o.task.JobID == member.task.JobID && o.number == member.number && (t.State == wire.TaskAwaitingGang || t.State == wire.TaskRunning || t.State == wire.TaskCheckpointing) {
				out = append(out, gangMember{w, o, t})
			}
		}
	}
	return out
}

// advanceLoop moves the workers and the cloud on.
func (r *Region) advanceLoop(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		time.Sleep(agentStep)
		now := time.Now()
		r.mu.Lock()
		for _, m := range r.machines {
			if m.State == wire.MachineBooting && !m.bootedAt.IsZero() && now.After(m.bootedAt) {
				m.State = wire.MachineRunning
				r.bootAgent(ctx, m)
			}
		}
		for _, m := range r.machines {
			if w := r.agents[m.ID]; w != nil {
				w.advance(now)
			}
		}
		var capacities []FreeCapacity
		if step%10 == 0 {
			capacities = r.freeCapacities()
			snapshot := listing{takenAt: now}
			for _, m := range r.machines {
				row := m.CloudMachine
				row.AgeSeconds = now.Sub(m.rentedAt).Seconds()
				snapshot.machines = append(snapshot.machines, row)
			}
			r.listings = append(r.listings, snapshot)
			if len(r.listings) > 60 {
				r.listings = r.listings[1:]
			}
		}
		r.mu.Unlock()
		r.Checker.CheckDeadlines()
		if step%10 == 0 {
			r.Checker.CheckStartableJobs(capacities)
		}
	}
}

func (r *Region) bootAgent(ctx context.Context, machine *cloudMachine) {
	if time.Since(machine.rentedAt) < 2*time.Second {
		r.Checker.Observe("up within two seconds", 1)
	}
	var machineType wire.MachineType
	for _, t := range r.machineTypes {
		if t.Name == machine.MachineType {
			machineType = t
		}
	}
	agent := &fakeAgent{region: r, name: machine.ID, address: machine.Address, machineType: machineType, zone: machine.Zone, spot: machine.Spot, session: 1,
		leaseRenewedAt: time.Now(), tasks: map[attempt]*agentTask{}, images: map[string]bool{}, controllerIndex: r.random.IntN(len(r.controllers))}
	r.agents[machine.ID] = agent
	r.Network.Listen(machine.Address, &Host{machine.ID, agent, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !agent.hung()
	}})
	r.wg.Go(func() { agent.heartbeatLoop(ctx) })
}

// removeMachine takes a machine away with all that is on it.
func (r *Region) removeMachine(name string, keepListed bool) {
	if w := r.agents[name]; w != nil {
		w.removed = true
		for k, t := range w.tasks {
			if t.onMachine {
				r.Checker.TaskLeft(k.task, name)
			}
		}
		r.Network.Listen(w.address, nil)
		delete(r.agents, name)
	}
	r.machines = slices.DeleteFunc(r.machines, func(m *cloudMachine) bool {
		if m.ID != name {
			return false
		}
		if keepListed {
			m.State = wire.MachineFailed
			return false
		}
		r.capacity[m.capacityKey]++
		return true
	})
}

// Machines lists the machines that are up; spot only, if asked.
func (r *Region) Machines(spotOnly bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, m := range r.machines {
		if r.agents[m.ID] != nil && (!spotOnly || m.Spot) {
			out = append(out, m.ID)
		}
	}
	return out
}

// PartitionZone cuts a zone off from everything: its machines and the controllers in it.
func (r *Region) PartitionZone(zone string, deliverLate bool, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inside := map[string]bool{}
	for name, w := range r.agents {
		if w.zone == zone {
			inside[name] = true
		}
	}
	for _, c := range r.controllers {
		if c.Settings.Zone == zone {
			inside[c.Settings.Node] = true
		}
	}
	r.Network.AddPartition(Partition{IsolatedHosts: inside, DeliverLate: deliverLate, Until: until})
}

// CloseZone makes the cloud rent nothing in a zone until a time.
func (r *Region) CloseZone(zone string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zoneClosedUntil[zone] = until
}

// FailZonePower takes the power from a zone until a time: what is on its machines is gone, its
// controllers end, nothing is rented there. Then its controllers start again, and of its
// machines all but every lose-th come back, with new sessions and without images; those that
// don't are listed as failed. With lose 0 all come back.
func (r *Region) FailZonePower(zone string, until time.Time, loseEvery int) {
	r.CloseZone(zone, until)
	r.mu.Lock()
	n := 0
	for _, name := range slices.Sorted(maps.Keys(r.agents)) {
		w := r.agents[name]
		if w.zone != zone {
			continue
		}
		if n++; loseEvery > 0 && n%loseEvery == 0 {
			r.removeMachine(name, true)
			continue
		}
		for k, t := range w.tasks {
			if t.onMachine {
				r.Checker.TaskLeft(k.task, name)
			}
		}
		clear(w.tasks)
		clear(w.images)
		w.session, w.sequence, w.fencingToken, w.hungUntil = w.session+1, 0, 0, until
	}
	r.mu.Unlock()
	for i, c := range r.controllers {
		if c.Settings.Zone == zone {
			r.KillController(i)
			r.wg.Go(func() {
				time.Sleep(time.Until(until))
				r.StartController(i)
			})
		}
	}
}

// AgentSessions gives the sessions of the machines of some zones.
func (r *Region) AgentSessions(zones ...string) map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]uint64{}
	for name, w := range r.agents {
		if slices.Contains(zones, w.zone) {
			out[name] = w.session
		}
	}
	return out
}

// FailMachine stops a machine; it stays in the list as failed.
func (r *Region) FailMachine(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeMachine(name, true)
}

// RemoveAllMachines takes all machines away at once, without a trace in the cloud's list.
func (r *Region) RemoveAllMachines() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.agents)) {
		r.removeMachine(name, false)
	}
}

// ReclaimMachine lets the cloud take a spot machine back, with or without a notice.
func (r *Region) ReclaimMachine(name string, notice time.Duration) {
	r.mu.Lock()
	if w := r.agents[name]; w != nil && notice > 0 {
		w.reclaimAt = time.Now().Add(notice)
		w.statusChanged = true
	}
	r.mu.Unlock()
	r.wg.Go(func() {
		time.Sleep(notice)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.removeMachine(name, false)
	})
}

// HangMachine stops a machine's processor for a while.
func (r *Region) HangMachine(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.agents[name]; w != nil {
		w.hungUntil = time.Now().Add(d)
	}
}

// LoseInbound lets a machine's reports arrive until a time, while answers and commands to it are lost.
func (r *Region) LoseInbound(name string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.agents[name]; w != nil {
		w.inboundLostUntil = until
	}
}

// DuplicateHeartbeats lets a copy of a share of the reports arrive again, from 2 s to more than two leases
// later, until a time.
func (r *Region) DuplicateHeartbeats(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duplicateHeartbeats = faultRate{share, until, rand.New(rand.NewPCG(seed, 53))}
}

// redeliverLater sends a report again later; nobody hears the answer. Callers hold the lock.
func (r *Region) redeliverLater(ctx context.Context, from, to string, body []byte) {
	d := r.duplicateHeartbeats.duration(2*time.Second, 5*r.Settings.Lease()/2)
	r.HeartbeatCopies++
	r.wg.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		}
		r.redeliver(ctx, from, to, body)
	})
}

// redeliver lets a report arrive once more; nobody hears the answer.
func (r *Region) redeliver(ctx context.Context, from, to string, body []byte) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/agent/beat", bytes.NewReader(body))
	if resp, err := r.Network.Transport(from, func() bool { return true }).RoundTrip(req); err == nil {
		resp.Body.Close()
	}
}

// IsolateController cuts a controller off from the state service and from the other controllers; workers and
// users still reach it.
func (r *Region) IsolateController(index int, deliverLate bool, until time.Time) {
	name := r.controllers[index].Settings.Node
	r.Network.AddPartition(Partition{From: name, To: "state", DeliverLate: deliverLate, Until: until})
	for j, c := range r.controllers {
		if j != index {
			r.Network.AddPartition(Partition{From: name, To: c.Settings.Node, DeliverLate: deliverLate, Until: until})
		}
	}
}

// LeaderIndex gives the controller that holds most of what is to be held, as the records say.
func (r *Region) LeaderIndex() int {
	most, at := -1, 0
	owners := map[string]int{}
	owners[r.shardOwner(record.LeaderShard).Owner] = len(r.controllers) + 1
	for p := range r.Settings.Deployment.Size {
		owners[r.shardOwner(p).Owner]++
	}
	for i, c := range r.controllers {
		if owners[c.Settings.Node] > most {
			most, at = owners[c.Settings.Node], i
		}
	}
	return at
}

// StartCloudOutage makes the cloud refuse everything until a time.
func (r *Region) StartCloudOutage(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloudOutageUntil = until
}

// serveCloud answers as the protocol says.
func (r *Region) serveCloud(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.cloudOutageUntil) {
		wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "trouble"})
		return
	}
	switch {
	case req.URL.Path == "/catalog":
		wire.WriteResponse(w, http.StatusOK, wire.Catalog{Types: r.machineTypes})
	case req.URL.Path == "/machines/return":
		var f wire.MachineNames
		if wire.Decode(body, &f) != nil || len(f.Names) > 100 {
			wire.WriteResponse(w, http.StatusBadRequest, nil)
			return
		}
		for _, n := range f.Names {
			r.removeMachine(n, false)
		}
		w.WriteHeader(http.StatusOK)
	case req.URL.Path == "/machines" && req.Method == http.MethodPost:
		r.serveRental(w, body, now)
	case req.URL.Path == "/machines":
		lag := config.Seconds(r.Settings.Deployment.Cloud.ListLagS * (0.5 + r.random.Float64()*1.5))
		out := wire.MachinePage{Machines: []wire.CloudMachine{}}
		after := req.URL.Query().Get("after")
		for _, l := range slices.Backward(r.listings) {
			if now.Sub(l.takenAt) >= lag {
				for _, m := range l.machines {
					if m.ID > after {
						out.Machines = append(out.Machines, m)
					}
				}
				break
			}
		}
		wire.WriteResponse(w, http.StatusOK, out)
	default:
		wire.WriteResponse(w, http.StatusBadRequest, nil)
	}
}

func (r *Region) serveRental(w http.ResponseWriter, body []byte, now time.Time) {
	var rental wire.RentalRequest
	if wire.Decode(body, &rental) != nil || rental.Name == "" || rental.Count < 1 || rental.Count > 50 {
		wire.WriteResponse(w, http.StatusBadRequest, nil)
		return
	}
	if names, ok := r.rentals[rental.Name]; ok {
		for _, machine := range r.machines {
			if machine.rental == rental.Name && (machine.MachineType != rental.MachineType || machine.Zone != rental.Zone) {
				r.Checker.AddViolation("rental name used twice: " + rental.Name)
			}
		}
		wire.WriteResponse(w, http.StatusOK, wire.MachineNames{Names: names})
		return
	}
	key := capacityKey(rental.MachineType, rental.Zone, rental.Spot)
	count := min(rental.Count, r.capacity[key])
	if count <= 0 || now.Before(r.zoneClosedUntil[rental.Zone]) {
		wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "no capacity"})
		return
	}
	r.capacity[key] -= count
	names := []string{}
	for range count {
		machineID := fmt.Sprintf("%svm-%06d", r.MachinePrefix, len(r.rentals)*100+len(names)+1)
		machine := &cloudMachine{CloudMachine: wire.CloudMachine{ID: machineID, Address: strings.Replace(machineID, "vm-", "worker-", 1) + ":9000", MachineType: rental.MachineType, Zone: rental.Zone,
			Spot: rental.Spot, State: wire.MachineBooting}, rental: rental.Name, capacityKey: key, rentedAt: now}
		if r.random.IntN(20) > 0 { // a few never come up
			machine.bootedAt = now.Add(config.Seconds(5 * (0.6 + r.random.Float64())))
			if now.Before(r.fastBootUntil) {
				machine.bootedAt = now.Add(config.Seconds(0.2 + 1.7*r.random.Float64()))
			}
		}
		r.machines = append(r.machines, machine)
		names = append(names, machineID)
	}
	r.rentals[rental.Name] = names
	wire.WriteResponse(w, http.StatusOK, wire.MachineNames{Names: names})
}
