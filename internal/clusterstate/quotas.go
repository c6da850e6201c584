package clusterstate

import "sableusher/internal/record"

// Quota is a team's grants.
type Quota struct {
	record.Quota
	ModRevision uint64
}

func (s *State) putQuota(change recordChange) error {
	quota, err := decode[record.Quota](change)
	if err != nil {
		return err
	}
	s.Quotas[change.name] = Quota{Quota: quota, ModRevision: change.modRevision}
	return nil
}

func (s *State) deleteQuota(change recordChange) { delete(s.Quotas, change.name) }
