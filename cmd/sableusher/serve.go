package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"sableusher/internal/config"
	"sableusher/internal/controller"
	"sableusher/internal/peerrpc"
	"sableusher/internal/tuning"
)

func logger() *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// serve runs a node until ctx ends or a signal asks it to stop.
func serve(ctx context.Context, set *config.Settings, op *config.Operator) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := logger().With("node", set.Node)
	d := &set.Deployment
	runtime.GOMAXPROCS(max(1, int(d.Limits.CPUShare+0.5)))
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(d.Limits.MemMB * tuning.MemoryShare * (1 << 20)))

	node, err := controller.New(controller.Config{
		Settings: set, Operator: op, Incarnation: rand.Uint64N(1<<52) + 1, SchemaVersion: tuning.Level, Logger: log,
		ConnectPeers: func(agents peerrpc.AgentRegistry) (controller.PeerTransport, error) {
			return peerrpc.New(set, agents, log)
		},
	})
	if err != nil {
		return err
	}

	listener, err := net.Listen("tcp4", set.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	listener = netutil.LimitListener(listener, max(16, int(float64(d.Limits.MaxSockets)*tuning.SocketShare)))
	server := &http.Server{Handler: node.Handler(), ReadTimeout: tuning.ReadTimeout, IdleTimeout: tuning.IdleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}

	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return node.Run(ctx) })
	g.Go(func() error { return server.Serve(listener) })
	g.Go(func() error {
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), tuning.StopGrace)
		defer cancel()
		return server.Shutdown(grace)
	})
	log.Info("serving", "listen", set.Listen, "parts", d.Size)
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	log.Info("stopped")
	return nil
}
