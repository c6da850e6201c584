package clusterstate

import "sableusher/internal/record"

// Quota is the record of a team's quota grants, with its mod revision.
type Quota struct {
	record.Quota
	ModRevision uint64
}

func (s *State) putQuota(change recordChange, quota record.Quota) {
	s.Quotas[change.name] = Quota{Quota: quota, ModRevision: change.modRevision}
}

func (s *State) deleteQuota(change recordChange) { delete(s.Quotas, change.name) }
