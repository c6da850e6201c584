package main

import (
	"fmt"
	"time"

	"sableusher/internal/wire"
)

// playBlockedTeam hands in a gang that takes its team's whole limit, then a service and, once the gang has started, an
// array. With trouble, a machine of the gang hangs for a while.
func playBlockedTeam(w *world, trouble bool) error {
	const team = "fariq-halaqa-1"
	if err := w.startAll(); err != nil {
		return err
	}
	fit := wire.JobSpec{
		ID: "run-000407", Class: "tadrib-mizan", Team: team, Kind: wire.KindGang, Priority: wire.PriorityHigh,
		TaskCount: 6, CPUs: 28, GPUs: 4, MemoryGB: 200, Image: "img-03", ImageSizeGB: 5, SameZone: true,
		JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 15, CheckpointIntervalSeconds: 15, CheckpointSaveSeconds: 5},
	}
	if err := w.mustSubmit(fit, 15*time.Second); err != nil {
		return err
	}
	if err := w.awaitRunning(fit.ID, fit.TaskCount, 30*time.Second); err != nil {
		return err
	}
	board := wire.JobSpec{
		ID: "run-000404", Class: "lawhat-asaar", Team: team, Kind: wire.KindService, Priority: wire.PriorityProduction,
		TaskCount: 1, CPUs: 5, GPUs: 1, MemoryGB: 38, Image: "img-01", ImageSizeGB: 3,
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
	time.Sleep(20 * time.Second)
	photos := wire.JobSpec{
		ID: "run-000403", Class: "farz-suwar", Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
		TaskCount: 5, CPUs: 6, GPUs: 1, MemoryGB: 48, Image: "img-02", ImageSizeGB: 6, AllowSpot: true,
		JobTiming: wire.JobTiming{RuntimeEstimateSeconds: 3},
	}
	if err := w.mustSubmit(photos, 3*time.Second); err != nil {
		return err
	}
	if !w.awaitDone(photos.ID, 50*time.Second) {
		w.checkStarted(photos.ID, 1)
	}
	if status := w.poll(fit.ID, 0); status.State == "" {
		return fmt.Errorf("no answer about %s", fit.ID)
	}
	return nil
}
