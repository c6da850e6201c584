package controller

import (
	"sableusher/internal/agent"
	"sableusher/internal/api"
	"sableusher/internal/autoscaler"
	"sableusher/internal/cloud"
	"sableusher/internal/clusterstate"
	"sableusher/internal/kvstore"
	"sableusher/internal/membership"
	"sableusher/internal/record"
	"sableusher/internal/scheduler"
	"sableusher/internal/schemaversion"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// store holds what the components of a controller share: the client of the key-value store, the cluster state, the
// watch cache that keeps it up to date, and the committer of transactions.
type store struct {
	client    *kvstore.Client
	state     *clusterstate.State
	cache     *kvstore.WatchCache
	committer *kvstore.Committer
}

func newStore(c *Config) *store {
	client := newStoreClient(c)
	state := clusterstate.New(c.Settings.Deployment.NodeCount, c.Logger)
	cache := kvstore.NewWatchCache(client, record.LivePrefix, state, c.Logger)
	committer := kvstore.NewCommitter(client, func(ops []wire.Op, revision uint64) { cache.ApplyOwn(ops, revision) })
	committer.SetObserver(cache)
	return &store{client: client, state: state, cache: cache, committer: committer}
}

// newStoreClient creates the client of the key-value store. It starts with an even share of the store's rates, and
// knows the upcoming limits of the store.
func newStoreClient(c *Config) *kvstore.Client {
	limits := &c.Settings.Deployment.State
	client := kvstore.NewClient(c.Settings.Outside.State, kvstore.Limits{
		BudgetShare:       tuning.KVBudgetShare / float64(c.Settings.Deployment.NodeCount),
		RequestsPerSecond: limits.RPS,
		WritesPerSecond:   limits.WriteRPS,
		MaxValueKiB:       limits.ValueKB,
		MaxTransactionOps: limits.TxnOps,
	}, c.Transport)
	upcoming := c.Settings.UpcomingKVLimits()
	client.SetUpcomingLimits(kvstore.Limits{
		RequestsPerSecond: upcoming.RPS,
		WritesPerSecond:   upcoming.WriteRPS,
		MaxValueKiB:       upcoming.ValueKB,
		MaxTransactionOps: upcoming.TxnOps,
	})
	return client
}

func (s *store) newMembership(c *Config) *membership.Member {
	return membership.New(membership.Config{
		NodeName:      c.Settings.Node,
		Incarnation:   c.Incarnation,
		NodeNames:     c.Settings.NodeNames(),
		SchemaVersion: c.SchemaVersion,
		Client:        s.client,
		Committer:     s.committer,
		Cache:         s.cache,
		ClusterState:  s.state,
		Logger:        c.Logger,
	})
}

func (s *store) newAgents(c *Config, members *membership.Member) *agent.Registry {
	return agent.New(agent.Config{
		Settings:     c.Settings,
		ClusterState: s.state,
		Membership:   members,
		CompleteAsOf: s.cache.CompleteAsOf,
		Logger:       c.Logger,
		Transport:    c.Transport,
	})
}

func (s *store) newAutoscaler(
	c *Config, members *membership.Member, engine *scheduler.Engine,
) *autoscaler.Autoscaler {
	cloudClient := cloud.New(cloud.Options{
		Address:           c.Settings.Outside.Cloud,
		RequestsPerSecond: c.Settings.Deployment.Cloud.RPS,
		NodeCount:         c.Settings.Deployment.NodeCount,
		Transport:         c.Transport,
	})
	return autoscaler.New(autoscaler.Options{
		Settings:  c.Settings,
		Operator:  c.Operator,
		State:     s.state,
		Members:   members,
		Scheduler: engine,
		Cloud:     cloudClient,
		Committer: s.committer,
		Log:       c.Logger,
	})
}

func (s *store) newActivator(c *Config, members *membership.Member) *schemaversion.Activator {
	return schemaversion.NewActivator(schemaversion.Config{
		NodeNames:        c.Settings.NodeNames(),
		SupportedVersion: c.SchemaVersion,
		ClusterState:     s.state,
		Owner:            members,
		Committer:        s.committer,
		Limits:           s.client,
		Logger:           c.Logger,
	})
}

func (s *store) newServer(c *Config, agents *agent.Registry) *api.Server {
	return api.New(api.Config{
		Settings:     c.Settings,
		Operator:     c.Operator,
		ClusterState: s.state,
		Reader:       s.client,
		Committer:    s.committer,
		Barrier:      s.cache,
		Agents:       agents,
		Logger:       c.Logger,
	})
}
