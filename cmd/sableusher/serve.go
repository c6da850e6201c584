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

	"github.com/spf13/cobra"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"sableusher/internal/config"
	"sableusher/internal/controller"
	"sableusher/internal/peerrpc"
	"sableusher/internal/tuning"
)

const (
	// maxIncarnation is the largest incarnation of a node. Every integer up to it is represented
	// exactly by a JSON number (a double).
	maxIncarnation = 1 << 52
	// minConnections is the least limit of concurrent connections, even if the machine's limit of
	// sockets is lower.
	minConnections = 16
	bytesPerMiB    = 1 << 20
)

func serveCommand() *cobra.Command {
	var paths settingsPaths
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run a controller node until it is ended.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, operator, err := paths.load()
			if err != nil {
				return err
			}
			return serve(cmd.Context(), settings, operator)
		},
	}
	paths.addFlags(cmd)
	return cmd
}

// serve runs a node until ctx is done or the process receives SIGINT or SIGTERM.
func serve(ctx context.Context, settings *config.Settings, operator *config.Operator) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger := newLogger().With("node", settings.Node)
	applyMachineLimits(&settings.Deployment)

	node, err := newNode(settings, operator, logger)
	if err != nil {
		return err
	}
	listener, err := listen(settings)
	if err != nil {
		return err
	}
	server := newServer(node.Handler(), logger)

	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return node.Run(groupCtx) })
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-groupCtx.Done()
		return shutdown(groupCtx, server)
	})
	logger.Info("serving", "listen", settings.Listen, "shards", settings.Deployment.NodeCount)
	if err := group.Wait(); err != nil && !isOrderlyShutdown(err) {
		return err
	}
	logger.Info("stopped")
	return nil
}

// newLogger returns a logger to standard error. Its level is that of the environment variable
// LOG_LEVEL, error or debug; any other value means info.
func newLogger() *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// applyMachineLimits sets the Go runtime's number of processors, garbage collection target and
// memory limit for the share of the machine that the platform assigns to this node.
func applyMachineLimits(deployment *config.Deployment) {
	limits := &deployment.Limits
	runtime.GOMAXPROCS(max(1, int(limits.CPUShare+0.5)))
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(limits.MemMB * tuning.GoMemoryLimitShare * bytesPerMiB))
}

// newNode creates the controller with a random incarnation, and its transport to the other
// nodes.
func newNode(
	settings *config.Settings, operator *config.Operator, logger *slog.Logger,
) (*controller.Controller, error) {
	return controller.New(controller.Config{
		Settings:      settings,
		Operator:      operator,
		Incarnation:   rand.Uint64N(maxIncarnation) + 1,
		SchemaVersion: tuning.SchemaVersion,
		Logger:        logger,
		ConnectPeers: func(agents peerrpc.AgentRegistry) (controller.PeerTransport, error) {
			return peerrpc.New(settings, agents, logger)
		},
	})
}

// listen opens the listener for users and agents. It limits the concurrent connections to a share of the machine's
// limit of sockets.
func listen(settings *config.Settings) (net.Listener, error) {
	listener, err := net.Listen("tcp4", settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	maxSockets := float64(settings.Deployment.Limits.MaxSockets)
	return netutil.LimitListener(listener, max(minConnections, int(maxSockets*tuning.ListenerSocketShare))), nil
}

func newServer(handler http.Handler, logger *slog.Logger) *http.Server {
	return &http.Server{
		Handler:     handler,
		ReadTimeout: tuning.HTTPReadTimeout,
		IdleTimeout: tuning.HTTPIdleTimeout,
		ErrorLog:    slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
}

// shutdown stops the server and waits for the requests in progress, for at most
// tuning.ShutdownGrace. The caller's ctx is already done, so only its values are used.
func shutdown(ctx context.Context, server *http.Server) error {
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tuning.ShutdownGrace)
	defer cancel()
	return server.Shutdown(graceCtx)
}

// isOrderlyShutdown reports whether err results from an orderly shutdown and not from a failure.
func isOrderlyShutdown(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed)
}
