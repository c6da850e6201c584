package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sableusher/internal/wire"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// site is what a case takes from a deployment.
type site struct {
	zones                               []string
	nodes                               int
	teams                               string // part of the settings
	reportS, leaseS, cancelS, gangWaitS float64
	gangPeerS                           float64
	limits                              storeLimits
	cloudRPS, listLagS                  float64
	capacity                            int // machines of each type, zone and kind
	cpuShare, memMB                     float64
	sockets                             int
	types                               []wire.MachineType
}

// world holds all stand-ins of a case.
type world struct {
	rec     *recorder
	site    site
	store   *store
	cloud   *cloud
	nodes   []*node
	reportS float64
	lease   time.Duration
	folder  string
	servers []*http.Server

	mu       sync.Mutex // guards the fields below and the workers
	workers  map[string]*worker
	jobs     map[string]*userJob
	mistaken map[string]bool   // jobs that fail on every machine
	onHost   map[string]string // machine by task
	runTime  func(job *userJob, index int) time.Duration
	onceDone func(job *userJob)
	stopped  chan struct{}
	ticking  sync.WaitGroup
}

// userJob is a job with what its user was told. The world's lock guards it.
type userJob struct {
	spec       wire.JobSpec
	acceptedAt time.Time // when its user was told
	askedAt    time.Time // when its user first asked to cancel it
	toldState  wire.JobState
	toldAt     time.Time
	refusedAt  time.Time
	done       map[int]bool
	endedAt    time.Time // when its last task completed
	starts     int
	failures   int
}

// Ports of the stand-ins: below those that outgoing connections take.
const (
	firstPort = 12_000
	portCount = 20_000
)

// freeAddress returns a loopback address that is free.
func freeAddress() string {
	for {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp4", address)
		if err == nil && listener.Close() == nil {
			return address
		}
	}
}

func newWorld(rec *recorder, place site, folder string) *world {
	w := &world{
		rec: rec, site: place, folder: folder, reportS: place.reportS, lease: seconds(place.leaseS),
		store:   newStore(place.limits),
		cloud:   newCloud(place.types, place.cloudRPS, seconds(place.listLagS), place.capacity),
		workers: map[string]*worker{}, jobs: map[string]*userJob{}, mistaken: map[string]bool{},
		onHost:  map[string]string{},
		stopped: make(chan struct{}),
	}
	w.cloud.start = func(machine wire.CloudMachine) { go w.startWorker(machine) }
	w.cloud.stop = w.stopWorker
	for i := range place.nodes {
		w.nodes = append(w.nodes, &node{
			name: "berth-" + strconv.Itoa(i), zone: place.zones[i%len(place.zones)], index: i,
			listen: freeAddress(), back: freeAddress(), store: freeAddress(), cloud: freeAddress(),
		})
	}
	w.ticking.Go(w.tick)
	return w
}

func (w *world) tick() {
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(workerTick):
		}
		w.mu.Lock()
		now := time.Now()
		for _, agent := range w.workers {
			agent.advance(now)
		}
		w.mu.Unlock()
	}
}

// serveOutside starts the store and the cloud, with an address of its own for each controller.
func (w *world) serveOutside() error {
	for _, n := range w.nodes {
		for address, handler := range map[string]http.Handler{
			n.store: w.store.handler(n.index), n.cloud: w.cloud.handler(),
		} {
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				return err
			}
			server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
			w.servers = append(w.servers, server)
			go func() { _ = server.Serve(listener) }() // ends when the server is closed
		}
	}
	return nil
}

// close ends all controllers and stand-ins.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	close(w.stopped)
	w.ticking.Wait()
	w.mu.Lock()
	names := []string{}
	for name := range w.workers {
		names = append(names, name)
	}
	w.mu.Unlock()
	for _, name := range names {
		w.stopWorker(name)
	}
	for _, server := range w.servers {
		_ = server.Close() // nothing is left to do after an error
	}
}

func (w *world) machineType(name string) wire.MachineType {
	for _, kind := range w.site.types {
		if kind.Name == name {
			return kind
		}
	}
	return wire.MachineType{}
}

// jobOf returns the job and the index of a task; ok is false if it was not submitted. The caller holds the lock.
func (w *world) jobOf(task string) (job *userJob, index int, ok bool) {
	id, number, _ := strings.Cut(task, "/")
	index, err := strconv.Atoi(number)
	job = w.jobs[id]
	return job, index, err == nil && job != nil && index >= 0 && index < job.spec.TaskCount
}

// taskStarted checks the rules for a task that begins on a machine. The caller holds the lock.
func (w *world) taskStarted(a *worker, key attempt, job *userJob) {
	w.rec.logf("task %s/%d starts on %s", key.task, key.number, a.machine.ID)
	job.starts++
	if other, ok := w.onHost[key.task]; ok {
		w.rec.violation("ran_twice", "%s starts on %s while it is on %s", key.task, a.machine.ID, other)
	}
	w.onHost[key.task] = a.machine.ID
	if job.toldState == wire.JobCancelled && time.Since(job.toldAt) > seconds(w.site.cancelS) {
		w.rec.violation("ran_cancelled", "%s starts %.1f s after its user was told", key.task,
			time.Since(job.toldAt).Seconds())
	}
	for _, needed := range job.spec.Dependencies {
		other := w.jobs[needed]
		if other == nil || len(other.done) < other.spec.TaskCount {
			w.rec.violation("too_early", "%s starts before %s is done", key.task, needed)
		}
	}
}

func (w *world) taskLeft(a *worker, key attempt) {
	w.rec.logf("task %s/%d leaves %s", key.task, key.number, a.machine.ID)
	if w.onHost[key.task] == a.machine.ID {
		delete(w.onHost, key.task)
	}
}

func (w *world) taskDone(job *userJob, index int) {
	w.rec.logf("task %s/%d completes", job.spec.ID, index)
	if len(job.done) == job.spec.TaskCount {
		job.endedAt = time.Now()
		w.rec.logf("job %s: last task completed", job.spec.ID)
		if w.onceDone != nil {
			w.onceDone(job)
		}
	}
}

// pickNode returns a node as the load balancer would: any that runs.
func (w *world) pickNode() *node {
	var up []*node
	for _, n := range w.nodes {
		if n.running() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return w.nodes[rand.IntN(len(w.nodes))]
	}
	return up[rand.IntN(len(up))]
}

func (w *world) settings(n *node) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\narea = %q\nlisten = %q\nback = %q\n", n.name, n.zone, n.listen, n.back)
	for _, other := range w.nodes {
		if other != n {
			fmt.Fprintf(&b, "[[siblings]]\nnode_name = %q\narea = %q\nendpoint = %q\n",
				other.name, other.zone, other.back)
		}
	}
	s := &w.site
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", n.cloud, n.store)
	fmt.Fprintf(&b, "[deployment]\nsize = %d\nzones = [\"%s\"]\ntime_bound_ms = 25.0\n%s",
		s.nodes, strings.Join(s.zones, `", "`), s.teams)
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\n"+
		"gang_peer_s = %.1f\ncancel_s = %.1f\n", s.reportS, s.leaseS, s.gangWaitS, s.gangPeerS, s.cancelS)
	fmt.Fprintf(&b, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
		s.limits.rps, s.limits.writeRPS, s.limits.valueKB, s.limits.txnOps)
	fmt.Fprintf(&b, "[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLagS)
	fmt.Fprintf(&b, "[deployment.machine_limits]\ncpu_share = %.2f\nmem_mb = %.1f\nmax_sockets = %d\n",
		s.cpuShare, s.memMB, s.sockets)
	return b.String()
}
