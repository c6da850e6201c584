package main

import (
	"time"

	"sableusher/internal/wire"
)

// heldRoomSite is auctionSite with five machines in each zone.
func heldRoomSite(trouble bool) options {
	o := auctionSite(trouble)
	for kind := range o.capacity {
		o.capacity[kind] = 5
	}
	return o
}

// playHeldRoom hands in a gang that takes all machines of a zone, then a service there and, once the gang is done or
// has ended, a gang of one task of another team there. With trouble, a machine of the first gang hangs for a while.
func playHeldRoom(w *world, trouble bool) error {
	const zone = "mintaqat-anfushi"
	if err := w.startAll(); err != nil {
		return err
	}
	fit := wire.JobSpec{
		ID: "run-000407", Class: "tadrib-mizan", Team: "fariq-halaqa-1", Kind: wire.KindGang, Zone: zone,
		Priority: wire.PriorityHigh, TaskCount: 5, CPUs: 28, GPUs: 4, MemoryGB: 200, Image: "img-03", ImageSizeGB: 5,
		SameZone:  true,
		JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 15, CheckpointIntervalSeconds: 15, CheckpointSaveSeconds: 5},
	}
	if err := w.mustSubmit(fit, 15*time.Second); err != nil {
		return err
	}
	if err := w.awaitRunning(fit.ID, fit.TaskCount, 30*time.Second); err != nil {
		return err
	}
	board := wire.JobSpec{
		ID: "run-000404", Class: "lawhat-asaar", Team: "fariq-halaqa-2", Kind: wire.KindService, Zone: zone,
		Priority: wire.PriorityProduction, TaskCount: 1, CPUs: 5, GPUs: 1, MemoryGB: 38, Image: "img-01",
		ImageSizeGB: 3,
	}
	if err := w.mustSubmit(board, 0); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w.hangMachineOf(fit.ID)
	}
	if err := w.awaitRunning(board.ID, board.TaskCount, 40*time.Second); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	other := fit
	other.ID, other.Team, other.TaskCount, other.Priority = "run-000403", "fariq-halaqa-2", 1, wire.PriorityNormal
	if err := w.mustSubmit(other, 3*time.Second); err != nil {
		return err
	}
	w.awaitDone(other.ID, 50*time.Second)
	w.checkStarted(other.ID, 1)
	return nil
}
