// Command mtmesh runs a mesh node beside an upstream, on the users' platform or
// standalone.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/mesh"
	"github.com/mulberrytray/mulberrytray/platform"
)

// hangups receives SIGHUP from the start of the process on: without a receiver, a signal that
// arrives while the settings are read would end it.
var hangups = make(chan os.Signal, 1)

func main() {
	signal.Notify(hangups, syscall.SIGHUP)
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtmesh:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var path string
	var o options
	return &cli.Command{
		Name:     "mtmesh",
		Usage:    "run the node beside an upstream on the users' platform",
		Commands: []*cli.Command{standaloneCommand()},
		Flags: o.flags(
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsVariable), Destination: &path},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if path == "" {
				return fmt.Errorf("--settings or %s must name the settings file", platform.SettingsVariable)
			}
			s, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			if o.check {
				return reportValid(c)
			}
			return run(ctx, path, s, o)
		},
	}
}

func run(ctx context.Context, path string, s platform.Settings, o options) error {
	out := event.NewAsyncWriter(os.Stdout)
	defer out.Close()
	events, err := o.logger(out)
	if err != nil {
		return err
	}
	store := platform.NewStore(s.StoreAddress)
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go watchSettings(ctx, path, s, hangups, store, events)
	return serve(ctx, s.Node, mesh.Dependencies{
		Names: platform.HeaderNames(), Configs: store, Registry: store,
		Announcements: platform.Announcements(s, events), Events: events, Dropped: out.Dropped,
	})
}

// serve runs a node until the context is done.
func serve(ctx context.Context, s mesh.Settings, deps mesh.Dependencies) error {
	node, err := mesh.New(s, deps)
	if err != nil {
		return err
	}
	if target := s.HeapTarget(); target > 0 {
		debug.SetMemoryLimit(target)
	}
	if err := node.Provision(); err != nil {
		deps.Events.Emit(event.NodeFailed, event.Fields{"error": err.Error()})
		return err
	}
	signal.Ignore(syscall.SIGPIPE)
	return node.Run(ctx)
}

// settingsPollPeriod is the time between two reads of the settings file without a
// signal.
const settingsPollPeriod = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and periodically. A change of the
// store's address takes effect at once. Other settings need a restart, since they
// contain the addresses of the node's listeners.
func watchSettings(ctx context.Context, path string, current platform.Settings, hup <-chan os.Signal, store *platform.Store, events *event.Logger) {
	tick := time.NewTicker(settingsPollPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			events.Emit(event.SettingsInvalid, event.Fields{"error": err.Error()})
			// An odd setting, which needs a restart anyway, must not hold back the address of the store.
			if address, err := platform.ReadStoreAddress(path); err == nil && address != current.StoreAddress {
				store.SetAddress(address)
				current.StoreAddress = address
				events.Emit(event.SettingsReloaded, event.Fields{"store": address, "restart_needed": true})
			}
			continue
		}
		// FirstStart only matters when the process starts.
		next.Node.FirstStart = current.Node.FirstStart
		if next == current {
			continue
		}
		store.SetAddress(next.StoreAddress)
		events.Emit(event.SettingsReloaded, event.Fields{"store": next.StoreAddress, "restart_needed": next.Node != current.Node})
		current = next
	}
}
