package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sableusher/internal/wire"
)

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// node is a controller.
type node struct {
	name, zone, listen, back, state, cloud string
	config                                 string
	reserved                               []net.Listener // keep the ports free for the first start
	process                                *exec.Cmd
	log                                    *os.File
}

// job is a job that was submitted.
type job struct {
	spec        wire.JobSpec
	runTime     time.Duration
	progress    map[string]time.Duration
	done        map[string]bool
	started     map[string]bool // tasks that were on a machine
	cancelledAt time.Time       // when its user was told that it is cancelled
	finalState  wire.JobState   // the final state that its user was told
}

// options are the settings of a world.
type options struct {
	zones              []string // of the controllers, one each
	report, lease      float64
	gangWait, gangPeer float64
	cancel             float64
	cloudRPS, listLag  float64
	limits             storeLimits
	next               *storeLimits // limits that the settings announce
	teams              []teamSetting
	types              []wire.MachineType
	capacity           map[pool]int
	boot               float64
}

type teamSetting struct {
	Name          string
	CPUs, CPUsMax float64
	GPUs, GPUsMax float64
}

// world is everything around the controllers.
type world struct {
	options
	reportEvery, lease, gangWait, gangPeer, cancelWithin time.Duration

	folder string
	record *os.File
	began  time.Time
	store  *store
	cloud  *cloud
	stop   chan struct{}

	mu         sync.Mutex
	nodes      []*node
	workers    map[string]*worker
	jobs       map[string]*job
	violations []string
	servers    []*http.Server
}

// newWorld starts the stand-ins of the state service and of the cloud. Controllers are started by startNode.
func newWorld(o options, recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		options: o, reportEvery: seconds(o.report), lease: seconds(o.lease), gangWait: seconds(o.gangWait),
		gangPeer: seconds(o.gangPeer), cancelWithin: seconds(o.cancel),
		folder: folder, record: record, began: time.Now(), stop: make(chan struct{}),
		workers: map[string]*worker{}, jobs: map[string]*job{},
	}
	w.store = newStore(o.limits, func(node, what string) {
		w.note("state service answers 400", "node", node, "why", what)
	})
	w.cloud = &cloud{
		types: o.types, capacity: o.capacity, rented: map[string][]string{}, machines: map[string]*cloudMachine{},
		lag: seconds(o.listLag), boot: seconds(o.boot), onBoot: w.startWorker, onReturn: w.returned,
	}
	for i, zone := range o.zones {
		n := &node{name: fmt.Sprintf("berth-%d", i), zone: zone}
		if err := w.listenFor(n); err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := w.writeSettings(n); err != nil {
			return nil, err
		}
	}
	go w.tick()
	return w, nil
}

// listenFor starts the state service and the cloud for a node, at addresses of its own, and picks its ports.
func (w *world) listenFor(n *node) error {
	state, err := w.serve(w.store.handler(n.name))
	if err != nil {
		return err
	}
	cloudAddress, err := w.serve(w.cloud.handler())
	if err != nil {
		return err
	}
	n.state, n.cloud = state, cloudAddress
	for _, address := range []*string{&n.listen, &n.back} {
		listener, err := reservePort()
		if err != nil {
			return err
		}
		*address = listener.Addr().String()
		n.reserved = append(n.reserved, listener)
	}
	return nil
}

func (w *world) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// reservePort listens on a free port below those that the system gives to connections, so that a controller that starts
// again finds its port free.
func reservePort() (listener net.Listener, err error) {
	for range 100 {
		listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, err
}

var settingsTemplate = template.Must(template.New("settings").Parse(`node_name = "{{.Node.Name}}"
area = "{{.Node.Zone}}"
listen = "{{.Node.Listen}}"
back = "{{.Node.Back}}"
{{range .Others}}
[[siblings]]
node_name = "{{.Name}}"
area = "{{.Zone}}"
endpoint = "{{.Back}}"
{{end}}
[outside]
cloud = "{{.Node.Cloud}}"
state = "{{.Node.State}}"

[deployment]
size = {{.Size}}
zones = [{{range $i, $z := .Zones}}{{if $i}}, {{end}}"{{$z}}"{{end}}]
time_bound_ms = 25.0
{{range .Teams}}
[[deployment.teams]]
name = "{{.Name}}"
cpus = {{printf "%.1f" .CPUs}}
cpus_max = {{printf "%.1f" .CPUsMax}}
gpus = {{printf "%.1f" .GPUs}}
gpus_max = {{printf "%.1f" .GPUsMax}}
{{end}}
[deployment.workers]
report_s = {{printf "%.1f" .Report}}
lease_s = {{printf "%.1f" .Lease}}
gang_wait_s = {{printf "%.1f" .GangWait}}
gang_peer_s = {{printf "%.1f" .GangPeer}}
cancel_s = {{printf "%.1f" .Cancel}}

[deployment.state]
rps = {{printf "%.1f" .RPS}}
write_rps = {{printf "%.1f" .WriteRPS}}
value_kb = {{printf "%.1f" .ValueKB}}
txn_ops = {{.TxnOps}}
{{.Next}}
[deployment.cloud]
rps = {{printf "%.1f" .CloudRPS}}
list_lag_s = {{printf "%.1f" .ListLag}}

[deployment.machine_limits]
cpu_share = 0.24
mem_mb = 179.0
max_sockets = 1200
`))

type nodeSetting struct{ Name, Zone, Listen, Back, State, Cloud string }

func (n *node) setting() nodeSetting {
	return nodeSetting{n.name, n.zone, n.listen, n.back, n.state, n.cloud}
}

// writeSettings writes a node's settings file.
func (w *world) writeSettings(n *node) error {
	var others []nodeSetting
	seen, zones := map[string]bool{}, []string{}
	for _, other := range w.nodes {
		if other != n {
			others = append(others, other.setting())
		}
		if !seen[other.zone] {
			seen[other.zone], zones = true, append(zones, other.zone)
		}
	}
	next := ""
	if w.next != nil {
		next = fmt.Sprintf("\n[deployment.state.next]\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
			w.next.writeRPS, w.next.valueKB, w.next.txnOps)
	}
	var text strings.Builder
	err := settingsTemplate.Execute(&text, map[string]any{
		"Node": n.setting(), "Others": others, "Size": len(w.nodes), "Zones": zones, "Teams": w.teams,
		"Report": w.report, "Lease": w.options.lease, "GangWait": w.options.gangWait, "GangPeer": w.options.gangPeer,
		"Cancel": w.cancel, "RPS": w.limits.rps, "WriteRPS": w.limits.writeRPS, "ValueKB": w.limits.valueKB,
		"TxnOps": w.limits.txnOps, "Next": next, "CloudRPS": w.cloudRPS, "ListLag": w.listLag,
	})
	if err != nil {
		return err
	}
	n.config = filepath.Join(w.folder, n.name+".toml")
	return os.WriteFile(n.config, []byte(text.String()), 0o600)
}

// runCommand returns the program and the arguments with which the deploy file starts a controller.
func runCommand() ([]string, error) {
	content, err := os.ReadFile(filepath.Join("deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(content, &deploy); err != nil {
		return nil, err
	}
	return strings.Fields(deploy.Run), nil
}

// startNode starts a controller.
func (w *world) startNode(i int) error {
	n := w.nodes[i]
	command, err := runCommand()
	if err != nil {
		return err
	}
	n.log, err = os.OpenFile(filepath.Join(w.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	for _, listener := range n.reserved {
		_ = listener.Close()
	}
	n.reserved = nil
	n.process = exec.Command(command[0], append(command[1:], n.config)...)
	n.process.Stderr, n.process.Stdout = n.log, n.log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.note("controller starts", "node", n.name)
	return n.process.Start()
}

// killNode kills a controller without a signal that it could handle.
func (w *world) killNode(i int) {
	n := w.nodes[i]
	if n.process == nil {
		return
	}
	w.note("controller killed", "node", n.name)
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
	n.process = nil
	_ = n.log.Close()
}

// close ends everything that was started.
func (w *world) close() {
	for i := range w.nodes {
		w.killNode(i)
	}
	close(w.stop)
	w.mu.Lock()
	for _, k := range w.workers {
		k.end("end of the run")
	}
	w.mu.Unlock()
	for _, server := range w.servers {
		_ = server.Close()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// tick lets time pass for workers and leases.
func (w *world) tick() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		now := time.Now()
		w.store.expireLeases(now)
		w.mu.Lock()
		for _, k := range w.workers {
			k.advance(now)
		}
		w.advanceGangs(now)
		w.checkCancelled(now)
		w.mu.Unlock()
	}
}

// returned ends a machine that a controller gave back.
func (w *world) returned(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if k := w.workers[id]; k != nil {
		k.end("deleted by a controller")
	}
}

// note writes a line to the record.
func (w *world) note(what string, pairs ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(what, pairs...)
}

// noteLocked is note for a caller that holds the mutex.
func (w *world) noteLocked(what string, pairs ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(w.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(w.record, line)
}

func (w *world) typeOf(name string) wire.MachineType {
	for _, t := range w.types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// jobOfTask returns the job of a task, or nil if it was not submitted. The caller holds the mutex.
func (w *world) jobOfTask(task string) *job {
	id, _, _ := strings.Cut(task, "/")
	return w.jobs[id]
}
