package autoscaler

import "context"

// returnMachines returns the machines of this controller's shards that are being deleted. Those
// whose tasks wait for it go at once, the others only if that leaves a call over: of few calls a
// second the return of one idle machine after the other once took all, and a dead machine's
// replicas waited for 3 s in the median.
func (a *Autoscaler) returnMachines(ctx context.Context) {
	machines, tasksWait := a.scheduler.MachinesToDelete()
	if len(machines) == 0 || !tasksWait && !a.cloud.HasSpareCall() {
		return
	}
	if err := a.cloud.Return(ctx, machines); err != nil {
		a.log.Info("machines not returned", "count", len(machines), "err", err)
		return
	}
	a.log.Info("machines returned", "machines", machines)
	a.scheduler.ConfirmDeleted(machines)
}
