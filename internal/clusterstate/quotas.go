package clusterstate

import "sableusher/internal/record"

// Quota is a team's grants.
type Quota struct {
	record.Quota
	ModRevision uint64
}

func (s *State) putQuota(change recordChange, quota record.Quota) {
	s.Quotas[change.name] = Quota{Quota: quota, ModRevision: change.modRevision}
}

func (s *State) deleteQuota(change recordChange) { delete(s.Quotas, change.name) }
