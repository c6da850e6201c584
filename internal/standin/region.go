package standin

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
	"sableusher/internal/node"
	"sableusher/internal/peer"
	"sableusher/internal/spill"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Controller is a node under test, with the process that runs it.
type Controller struct {
	answer  peer.Answer // to other cells, if it is one of several
	Set     *config.Settings
	Address string
	Level   int // of the version that it runs; set before Start
	stop    context.CancelFunc
	alive   *atomic.Bool
	ended   chan struct{}
	witness peer.Witness
}

// lines stands in for gRPC between controllers.
type lines struct {
	r    *Region
	self *Controller
}

// Cells keeps what answers other cells.
func (l lines) Cells(a peer.Answer) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	l.self.answer = a
}

// Exchange asks another cell, over the links between them.
func (l lines) Exchange(ctx context.Context, to config.Cell, m spill.Message) (spill.Message, error) {
	if l.r.Cells == nil {
		return spill.Message{}, errReset
	}
	return l.r.Cells.exchange(ctx, to.Name, m)
}

func (l lines) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// others gives the witnesses of the nodes that can be reached.
func (l lines) others() map[string]peer.Witness {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	out := map[string]peer.Witness{}
	for _, c := range l.r.nodes {
		if c != l.self && c.alive != nil && c.alive.Load() {
			if _, cut := l.r.Net.cut(l.self.Set.Node, c.Set.Node); !cut {
				out[c.Set.Node] = c.witness
			}
		}
	}
	return out
}

func (l lines) Reached(node string) time.Time {
	if _, ok := l.others()[node]; ok {
		return time.Now()
	}
	return time.Time{}
}

func (l lines) Ask(_ context.Context, machines []string) map[string]string {
	out := map[string]string{}
	for node, w := range l.others() {
		if !w.HasFreshState() {
			continue
		}
		for _, m := range w.RecentlyHeard(machines) {
			out[m] = node
		}
	}
	return out
}

func (l lines) Images(context.Context) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, w := range l.others() {
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
	Set    *config.Settings
	Net    *Net
	State  *State
	Oracle *Oracle
	Log    *slog.Logger
	// Operators changes the operators' settings, as every node that starts reads them.
	Operators func(*config.Operator)
	// Rash plants a defect: cancellations are told to users before they are certain.
	Rash bool
	// Cells are the region's and others, if it is one of several; Prefix tells its machines apart.
	Cells  *Cells
	Prefix string

	ctx   context.Context
	wg    sync.WaitGroup
	nodes []*Controller

	mu       sync.Mutex
	rnd      *rand.Rand
	types    []wire.MachineType
	capacity map[string]int // by type, zone and kind
	machines []*rented
	charters map[string][]string
	listings []listing
	cloudOff time.Time
	closed   map[string]time.Time // zones in which the cloud rents nothing until then
	workers  map[string]*worker
	saved    map[world.TaskRef]bool
	runS     map[string]float64
	faults   map[world.TaskRef]int // failures that tasks still have before them
	copies   odds                  // reports of which a copy arrives again
	Copies   int                   // such copies so far
	kept     odds                  // reports of which a copy is kept for the next leader
	keeping  map[string]keptReport // the last one kept of each worker
	fast     time.Time             // machines rented until then are up within two seconds
	atEnd    odds                  // jobs that end and are called off at that moment
	looks    time.Time             // until when users ask at all nodes right after an answer
}

type rented struct {
	wire.Listed
	rental string
	key    string
	since  time.Time
	up     time.Time
}

type listing struct {
	at   time.Time
	rows []wire.Listed
}

// NewRegion starts a region: cloud, state service and network, without nodes.
func NewRegion(ctx context.Context, set *config.Settings, types []wire.MachineType, each int, rnd *rand.Rand, log *slog.Logger) *Region {
	return newRegion(ctx, set, types, each, rnd, log, NewOracle(set))
}

// newRegion starts a region under an oracle that may watch others too.
func newRegion(ctx context.Context, set *config.Settings, types []wire.MachineType, each int, rnd *rand.Rand, log *slog.Logger, oracle *Oracle) *Region {
	d := &set.Deployment
	r := &Region{Set: set, Net: NewNet(rand.New(rand.NewPCG(rnd.Uint64(), 1))), Oracle: oracle, Log: log,
		State: NewState(d.State.RPS, d.State.WriteRPS, d.State.TxnOps, d.State.ValueKB, 600),
		ctx:   ctx, rnd: rnd, types: types, capacity: map[string]int{}, charters: map[string][]string{},
		workers: map[string]*worker{}, closed: map[string]time.Time{}, saved: map[world.TaskRef]bool{}, runS: map[string]float64{}, faults: map[world.TaskRef]int{}, keeping: map[string]keptReport{}}
	for _, t := range types {
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				r.capacity[kindKey(t.Name, z, spot)] = each
			}
		}
	}
	up := func() bool { return true }
	r.Net.Listen(set.Outside.State, &Host{"state", r.State, up})
	r.Net.Listen(set.Outside.Cloud, &Host{"cloud", http.HandlerFunc(r.cloud), up})
	r.wg.Go(func() { r.carryOn(ctx) })
	return r
}

// Wait returns once all routines of the region have ended.
func (r *Region) Wait() { r.wg.Wait() }

func kindKey(typ, zone string, spot bool) string { return fmt.Sprint(typ, "|", zone, "|", spot) }

// Add adds a controller and starts it.
func (r *Region) Add(set *config.Settings) {
	r.nodes = append(r.nodes, &Controller{Set: set, Address: set.Listen, Level: tuning.Level})
	r.Start(len(r.nodes) - 1)
}

// Start runs controller i as a new process.
func (r *Region) Start(i int) {
	c := r.nodes[i]
	ctx, cancel := context.WithCancel(r.ctx)
	alive := &atomic.Bool{}
	alive.Store(true)
	op, err := config.LoadOperator("")
	if err != nil {
		panic(err)
	}
	if r.Operators != nil {
		r.Operators(op)
	}
	r.mu.Lock()
	inc := r.rnd.Uint64N(1<<40) + 1
	r.mu.Unlock()
	var witness peer.Witness
	n, err := node.New(c.Set, op, inc, c.Level, r.Net.From(c.Set.Node, alive.Load), func(w peer.Witness) (node.Lines, error) {
		witness = w
		return lines{r, c}, nil
	}, r.Log.With("node", c.Set.Node))
	if err != nil {
		panic(err)
	}
	r.mu.Lock()
	c.stop, c.alive, c.ended, c.witness = cancel, alive, make(chan struct{}), witness
	r.mu.Unlock()
	r.Net.Listen(c.Address, &Host{c.Set.Node, n.Handler(), func() bool { return true }})
	ended := c.ended
	r.wg.Go(func() {
		_ = n.Run(ctx)
		close(ended)
	})
}

// Kill ends controller i's process without warning.
func (r *Region) Kill(i int) {
	c := r.nodes[i]
	c.alive.Store(false)
	r.Net.Listen(c.Address, nil)
	c.stop()
	<-c.ended
}

// Nodes is the number of controllers.
func (r *Region) Nodes() int { return len(r.nodes) }

// Running sets how long a job's tasks run.
func (r *Region) Running(job string, s float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runS[job] = s
}

// Fault lets a task fail by itself so many times before it can complete.
func (r *Region) Fault(ref world.TaskRef, times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[ref] = times
}

func (r *Region) left(ref world.TaskRef, s *wire.Spec) time.Duration {
	run := r.runS[s.ID]
	if r.saved[ref] {
		run /= 2
	}
	return config.Seconds(run)
}

type mate struct {
	w *worker
	k attempt
	t *task
}

// mates are the tasks of a gang's attempt that have come together.
func (r *Region) mates(k attempt) []mate {
	var out []mate
	for _, w := range r.workers {
		if w.hung() {
			continue
		}
		for o, t := range w.tasks {
			if o.ref.Job == k.ref.Job && o.n == k.n && (t.State == wire.TaskWaiting || t.State == wire.TaskRunning || t.State == wire.TaskSaving) {
				out = append(out, mate{w, o, t})
			}
		}
	}
	return out
}

// carryOn moves the workers and the cloud on.
func (r *Region) carryOn(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(tick)
		now := time.Now()
		r.mu.Lock()
		for _, m := range r.machines {
			if m.State == wire.MachineBooting && !m.up.IsZero() && now.After(m.up) {
				m.State = wire.MachineRunning
				r.boot(ctx, m)
			}
		}
		for _, m := range r.machines {
			if w := r.workers[m.ID]; w != nil {
				w.step(now)
			}
		}
		var rooms []Room
		if i%10 == 0 {
			rooms = r.rooms()
			l := listing{at: now}
			for _, m := range r.machines {
				row := m.Listed
				row.AgeS = now.Sub(m.since).Seconds()
				l.rows = append(l.rows, row)
			}
			r.listings = append(r.listings, l)
			if len(r.listings) > 60 {
				r.listings = r.listings[1:]
			}
		}
		r.mu.Unlock()
		r.Oracle.Check()
		if i%10 == 0 {
			r.Oracle.Waiting(rooms)
		}
	}
}

func (r *Region) boot(ctx context.Context, m *rented) {
	if time.Since(m.since) < 2*time.Second {
		r.Oracle.Meets("up within two seconds", 1)
	}
	var typ wire.MachineType
	for _, t := range r.types {
		if t.Name == m.Type {
			typ = t
		}
	}
	w := &worker{r: r, name: m.ID, address: m.Address, typ: typ, zone: m.Zone, spot: m.Spot, session: 1,
		leaseFrom: time.Now(), tasks: map[attempt]*task{}, images: map[string]bool{}, node: r.rnd.IntN(len(r.nodes))}
	r.workers[m.ID] = w
	r.Net.Listen(m.Address, &Host{m.ID, w, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !w.hung()
	}})
	r.wg.Go(func() { w.run(ctx) })
}

// remove takes a machine away with all that is on it.
func (r *Region) remove(name string, keepListed bool) {
	if w := r.workers[name]; w != nil {
		w.gone = true
		for k, t := range w.tasks {
			if t.on {
				r.Oracle.Off(k.ref, name)
			}
		}
		r.Net.Listen(w.address, nil)
		delete(r.workers, name)
	}
	r.machines = slices.DeleteFunc(r.machines, func(m *rented) bool {
		if m.ID != name {
			return false
		}
		if keepListed {
			m.State = wire.MachineFailed
			return false
		}
		r.capacity[m.key]++
		return true
	})
}

// Machines lists the machines that are up; spot only, if asked.
func (r *Region) Machines(spotOnly bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, m := range r.machines {
		if r.workers[m.ID] != nil && (!spotOnly || m.Spot) {
			out = append(out, m.ID)
		}
	}
	return out
}

// CutZone cuts a zone off from everything: its machines and the controllers in it.
func (r *Region) CutZone(zone string, hold bool, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inside := map[string]bool{}
	for name, w := range r.workers {
		if w.zone == zone {
			inside[name] = true
		}
	}
	for _, c := range r.nodes {
		if c.Set.Zone == zone {
			inside[c.Set.Node] = true
		}
	}
	r.Net.Cut(Cut{Inside: inside, Hold: hold, Until: until})
}

// CloseZone makes the cloud rent nothing in a zone until a time.
func (r *Region) CloseZone(zone string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed[zone] = until
}

// Power takes the power from a zone until a time: what is on its machines is gone, its
// controllers end, nothing is rented there. Then its controllers start again, and of its
// machines all but every lose-th come back, with new sessions and without images; those that
// don't are listed as failed. With lose 0 all come back.
func (r *Region) Power(zone string, until time.Time, lose int) {
	r.CloseZone(zone, until)
	r.mu.Lock()
	n := 0
	for _, name := range slices.Sorted(maps.Keys(r.workers)) {
		w := r.workers[name]
		if w.zone != zone {
			continue
		}
		if n++; lose > 0 && n%lose == 0 {
			r.remove(name, true)
			continue
		}
		for k, t := range w.tasks {
			if t.on {
				r.Oracle.Off(k.ref, name)
			}
		}
		clear(w.tasks)
		clear(w.images)
		w.session, w.seq, w.token, w.hungUntil = w.session+1, 0, 0, until
	}
	r.mu.Unlock()
	for i, c := range r.nodes {
		if c.Set.Zone == zone {
			r.Kill(i)
			r.wg.Go(func() {
				time.Sleep(time.Until(until))
				r.Start(i)
			})
		}
	}
}

// Sessions gives the sessions of the machines of some zones.
func (r *Region) Sessions(zones ...string) map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]uint64{}
	for name, w := range r.workers {
		if slices.Contains(zones, w.zone) {
			out[name] = w.session
		}
	}
	return out
}

// Die stops a machine; it stays in the list as failed.
func (r *Region) Die(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(name, true)
}

// Vanish takes all machines away at once, without a trace in the cloud's list.
func (r *Region) Vanish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.workers)) {
		r.remove(name, false)
	}
}

// Take lets the cloud take a spot machine back, with or without a notice.
func (r *Region) Take(name string, notice time.Duration) {
	r.mu.Lock()
	if w := r.workers[name]; w != nil && notice > 0 {
		w.recall = time.Now().Add(notice)
		w.changed = true
	}
	r.mu.Unlock()
	r.wg.Go(func() {
		time.Sleep(notice)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.remove(name, false)
	})
}

// Hang stops a machine's processor for a while.
func (r *Region) Hang(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.workers[name]; w != nil {
		w.hungUntil = time.Now().Add(d)
	}
}

// Deaf lets a machine's reports arrive until a time, while answers and commands to it are lost.
func (r *Region) Deaf(name string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.workers[name]; w != nil {
		w.deafUntil = until
	}
}

// LateReports lets a copy of a share of the reports arrive again, from 2 s to more than two leases
// later, until a time.
func (r *Region) LateReports(share float64, until time.Time, seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copies = odds{share, until, rand.New(rand.NewPCG(seed, 53))}
}

// copy sends a report again later; nobody hears the answer. Callers hold the lock.
func (r *Region) copy(ctx context.Context, from, to string, body []byte) {
	d := r.copies.between(2*time.Second, 5*r.Set.Lease()/2)
	r.Copies++
	r.wg.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		}
		r.deliver(ctx, from, to, body)
	})
}

// deliver lets a report arrive once more; nobody hears the answer.
func (r *Region) deliver(ctx context.Context, from, to string, body []byte) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/agent/beat", bytes.NewReader(body))
	if resp, err := r.Net.From(from, func() bool { return true }).RoundTrip(req); err == nil {
		resp.Body.Close()
	}
}

// Apart cuts a controller off from the state service and from the other controllers; workers and
// users still reach it.
func (r *Region) Apart(i int, hold bool, until time.Time) {
	name := r.nodes[i].Set.Node
	r.Net.Cut(Cut{From: name, To: "state", Hold: hold, Until: until})
	for j, c := range r.nodes {
		if j != i {
			r.Net.Cut(Cut{From: name, To: c.Set.Node, Hold: hold, Until: until})
		}
	}
}

// Leading gives the controller that holds most of what is to be held, as the records say.
func (r *Region) Leading() int {
	most, at := -1, 0
	owners := map[string]int{}
	owners[r.owner(world.Leader).Owner] = len(r.nodes) + 1
	for p := range r.Set.Deployment.Size {
		owners[r.owner(p).Owner]++
	}
	for i, c := range r.nodes {
		if owners[c.Set.Node] > most {
			most, at = owners[c.Set.Node], i
		}
	}
	return at
}

// CloudOutage makes the cloud refuse everything until a time.
func (r *Region) CloudOutage(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloudOff = until
}

// cloud answers as the protocol says.
func (r *Region) cloud(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.cloudOff) {
		wire.Reply(w, http.StatusServiceUnavailable, wire.Problem{Error: "trouble"})
		return
	}
	switch {
	case req.URL.Path == "/catalog":
		wire.Reply(w, http.StatusOK, wire.Catalog{Types: r.types})
	case req.URL.Path == "/machines/return":
		var f wire.Fleet
		if wire.Decode(body, &f) != nil || len(f.Machines) > 100 {
			wire.Reply(w, http.StatusBadRequest, nil)
			return
		}
		for _, n := range f.Machines {
			r.remove(n, false)
		}
		w.WriteHeader(http.StatusOK)
	case req.URL.Path == "/machines" && req.Method == http.MethodPost:
		r.rent(w, body, now)
	case req.URL.Path == "/machines":
		lag := config.Seconds(r.Set.Deployment.Cloud.ListLagS * (0.5 + r.rnd.Float64()*1.5))
		out := wire.List{Machines: []wire.Listed{}}
		after := req.URL.Query().Get("after")
		for _, l := range slices.Backward(r.listings) {
			if now.Sub(l.at) >= lag {
				for _, m := range l.rows {
					if m.ID > after {
						out.Machines = append(out.Machines, m)
					}
				}
				break
			}
		}
		wire.Reply(w, http.StatusOK, out)
	default:
		wire.Reply(w, http.StatusBadRequest, nil)
	}
}

func (r *Region) rent(w http.ResponseWriter, body []byte, now time.Time) {
	var q wire.Rental
	if wire.Decode(body, &q) != nil || q.Name == "" || q.Count < 1 || q.Count > 50 {
		wire.Reply(w, http.StatusBadRequest, nil)
		return
	}
	if names, ok := r.charters[q.Name]; ok {
		for _, m := range r.machines {
			if m.rental == q.Name && (m.Type != q.Type || m.Zone != q.Zone) {
				r.Oracle.Note("rental name used twice: " + q.Name)
			}
		}
		wire.Reply(w, http.StatusOK, wire.Fleet{Machines: names})
		return
	}
	key := kindKey(q.Type, q.Zone, q.Spot)
	n := min(q.Count, r.capacity[key])
	if n <= 0 || now.Before(r.closed[q.Zone]) {
		wire.Reply(w, http.StatusServiceUnavailable, wire.Problem{Error: "no capacity"})
		return
	}
	r.capacity[key] -= n
	names := []string{}
	for range n {
		id := fmt.Sprintf("%svm-%06d", r.Prefix, len(r.charters)*100+len(names)+1)
		m := &rented{Listed: wire.Listed{ID: id, Address: strings.Replace(id, "vm-", "worker-", 1) + ":9000", Type: q.Type, Zone: q.Zone,
			Spot: q.Spot, State: wire.MachineBooting}, rental: q.Name, key: key, since: now}
		if r.rnd.IntN(20) > 0 { // a few never come up
			m.up = now.Add(config.Seconds(5 * (0.6 + r.rnd.Float64())))
			if now.Before(r.fast) {
				m.up = now.Add(config.Seconds(0.2 + 1.7*r.rnd.Float64()))
			}
		}
		r.machines = append(r.machines, m)
		names = append(names, id)
	}
	r.charters[q.Name] = names
	wire.Reply(w, http.StatusOK, wire.Fleet{Machines: names})
}
