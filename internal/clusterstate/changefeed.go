package clusterstate

// changeNotifier informs other components of this process about changes. It is guarded by the State's lock.
type changeNotifier struct {
	feeds       []*ChangeFeed
	subscribers []chan struct{}
}

// markMachine adds a changed machine to all feeds.
func (n *changeNotifier) markMachine(name string) {
	for _, feed := range n.feeds {
		feed.machines[name] = struct{}{}
	}
}

// markJob adds a changed job to all feeds.
func (n *changeNotifier) markJob(id string) {
	for _, feed := range n.feeds {
		feed.jobs[id] = struct{}{}
	}
}

// notify wakes the subscribers without blocking. A subscriber with a pending notification gets no second one.
func notify(subscribers []chan struct{}) {
	for _, subscriber := range subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Subscribe returns a channel that receives a value after each group of changes. The channel holds one value: while it
// has not been received, further groups of changes send none.
func (s *State) Subscribe() <-chan struct{} {
	subscriber := make(chan struct{}, 1)
	s.Lock()
	defer s.Unlock()
	s.changes.subscribers = append(s.changes.subscribers, subscriber)
	return subscriber
}

// ChangeFeed collects the machines and jobs that have changed since they were last taken from it. A machine counts
// as changed if its record or its bindings change, or if a job that has a task bound to it is cancelled or preempted.
// A job counts as changed if any of its records or the outcome of a dependency changes. The cost of processing a
// feed depends on the number of changes and not on the size of the cluster.
type ChangeFeed struct {
	machines, jobs map[string]struct{} // by name and by ID
}

// NewChangeFeed returns a feed that initially contains all machines and jobs and collects all later changes. The
// caller has to take from it regularly, because the feed is never emptied otherwise.
func (s *State) NewChangeFeed() *ChangeFeed {
	s.Lock()
	defer s.Unlock()
	feed := &ChangeFeed{machines: map[string]struct{}{}, jobs: map[string]struct{}{}}
	for name := range s.Machines {
		feed.machines[name] = struct{}{}
	}
	for id := range s.Jobs {
		feed.jobs[id] = struct{}{}
	}
	s.changes.feeds = append(s.changes.feeds, feed)
	return feed
}

// TakeMachines returns the changed machines and removes them from the feed. The caller must hold the State's lock, at
// least for reading, and must not take from the same feed concurrently.
func (f *ChangeFeed) TakeMachines() map[string]struct{} {
	machines := f.machines
	f.machines = map[string]struct{}{}
	return machines
}

// TakeJobs returns the changed jobs and removes them from the feed. The rules of TakeMachines apply.
func (f *ChangeFeed) TakeJobs() map[string]struct{} {
	jobs := f.jobs
	f.jobs = map[string]struct{}{}
	return jobs
}
