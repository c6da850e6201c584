package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// ondaviva is a small deployment like ondaviva-shared-next.
func ondaviva() site {
	return site{
		zones: []string{"chapinero", "teusaquillo"}, nodes: 3, reportS: 4, leaseS: 24, cancelS: 44, gangWaitS: 50,
		gangPeerS: 5, limits: storeLimits{200, 80, 16, 32}, cloudRPS: 10, listLagS: 10, capacity: 28,
		cpuShare: 0.24, memMB: 179, sockets: 1200,
		teams: "[[deployment.teams]]\nname = \"emision\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		types: []wire.MachineType{{
			Name: "condor", CPUs: 96, GPUs: 8, MemoryGB: 576, ImageCacheGB: 150, ImageFetchGBps: 0.4, Price: 17.53,
			SpotPrice: 6.62, BootSeconds: 60, Zones: []string{"chapinero", "teusaquillo"},
		}},
	}
}

// startAll starts the outside and all controllers, and waits until they are ready.
func (w *world) startAll() error {
	if err := w.serveOutside(); err != nil {
		return err
	}
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return err
		}
	}
	for since := time.Now(); time.Since(since) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if status, _ := w.ask(n, http.MethodGet, "/ready", nil, time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.nodes) {
			w.rec.logf("all controllers ready")
			return nil
		}
	}
	return fmt.Errorf("controllers not ready")
}

const (
	slowRequest  = 120 * time.Millisecond
	pipelineGap  = 1100 * time.Millisecond
	pipelines    = 64
	scenarioTime = 95 * time.Second
)

// playDependents plays pipelines of two jobs. The first is called off as its last task ends, while the store is slow.
func playDependents(w *world, trouble bool) error {
	if trouble {
		w.store.delay = func(int, *http.Request) latency {
			return latency{slowRequest + rand.N(slowRequest/2), slowRequest + rand.N(slowRequest/2)}
		}
	}
	w.runTime = func(job *userJob, index int) time.Duration {
		if job.spec.Class == "rotulado" {
			return 8 * time.Second
		}
		return seconds(4 + 0.02*float64(index))
	}
	var users sync.WaitGroup
	if err := w.startAll(); err != nil {
		return err
	}
	ended := make(chan string, pipelines)
	w.onceDone = func(job *userJob) {
		if job.spec.Class == "capitulos" {
			ended <- job.spec.ID
		}
	}
	deadline := time.Now().Add(scenarioTime)
	users.Go(func() {
		for i := range pipelines {
			users.Go(func() { w.pipeline(i, deadline) })
			time.Sleep(pipelineGap)
		}
	})
	users.Go(func() {
		for range pipelines {
			select {
			case id := <-ended:
				users.Go(func() { w.cancelAtEnd(id, trouble, deadline) })
			case <-time.After(time.Until(deadline)):
				return
			}
		}
	})
	users.Wait()
	w.checkCancelled()
	return nil
}

// cancelAtEnd calls a job off in the moment of its end, or, without the trouble, once its user knows that it is done.
func (w *world) cancelAtEnd(id string, trouble bool, deadline time.Time) {
	if trouble {
		time.Sleep(rand.N(700 * time.Millisecond))
	}
	for !trouble && w.poll(id) != wire.JobDone && time.Now().Before(deadline) {
		time.Sleep(time.Second)
	}
	w.cancelJob(id)
}

// pipeline submits a job and one that awaits it, and follows the second.
func (w *world) pipeline(number int, deadline time.Time) {
	first := wire.JobSpec{
		ID: fmt.Sprintf("run-%06d", 1000+2*number), Class: "capitulos", Team: "emision", Kind: wire.KindArray,
		Priority: wire.PriorityLow, TaskCount: 160, CPUs: 2, MemoryGB: 9.6, Image: "img-01", ImageSizeGB: 0.1,
		AllowSpot: true, JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 6},
	}
	second := first
	second.ID, second.Class = fmt.Sprintf("run-%06d", 1001+2*number), "rotulado"
	second.Priority, second.TaskCount, second.CPUs, second.MemoryGB = wire.PriorityHigh, 3, 1, 4.8
	second.RuntimeEstimateSeconds = 8
	second.Dependencies = []string{first.ID}
	if !w.submit(first) || !w.submit(second) {
		return
	}
	for time.Now().Before(deadline) && !w.poll(second.ID).IsFinal() {
		time.Sleep(4*time.Second + rand.N(2*time.Second))
	}
	w.poll(first.ID)
}
