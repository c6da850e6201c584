package autoscaler

import "context"

// deleteMachines deletes, in the cloud, those machines of this node's shards that are marked for
// deletion, which include drained ones. If tasks are still bound to one of them, it calls the cloud at once, because
// these tasks start on another machine only after the deletion. Otherwise it calls the cloud only if a call
// is left for urgent requests. The cloud allows few calls per second: when deletions of single idle
// machines took all of them, replicas waited 3 s (median) until the cloud had deleted their dead machine.
func (a *Autoscaler) deleteMachines(ctx context.Context) {
	machines, tasksWait := a.scheduler.MachinesToDelete()
	if len(machines) == 0 || !tasksWait && !a.cloud.HasSpareCall() {
		return
	}
	if err := a.cloud.Delete(ctx, machines); err != nil {
		a.log.Info("deleting machines in the cloud failed", "count", len(machines), "err", err)
		return
	}
	a.log.Info("machines deleted", "machines", machines)
	a.scheduler.ConfirmDeleted(machines)
}
