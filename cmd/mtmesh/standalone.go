package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/intake"
	"github.com/mulberrytray/mulberrytray/pkg/mesh"
	"github.com/mulberrytray/mulberrytray/pkg/standalone"
)

// standaloneSettings are the settings of a node without a platform.
type standaloneSettings struct {
	node   mesh.Settings
	routes standalone.RoutesFile
	peers  []string
}

// standaloneCommand returns the command that runs a node without a platform.
func standaloneCommand() *cli.Command {
	var s standaloneSettings
	var o options
	return &cli.Command{
		Name:  "standalone",
		Usage: "run the node without the platform: routes from a file, other nodes from --peers",
		Flags: o.flags(
			textFlag("failure-domain", "failure domain of the VM", "", &s.node.Domain),
			textFlag("service", "service of the upstream beside the node", "", &s.node.Service),
			textFlag("upstream-address", "IP:port of the upstream", "127.0.0.1:8091", &s.node.UpstreamAddress),
			textFlag("caller-address", "IP:port for callers on this VM and the upstream's own calls", "127.0.0.1:8080", &s.node.CallerAddress),
			textFlag("peer-address", "IP:port for other nodes, TCP and UDP; it names the node", "127.0.0.1:8081", &s.node.PeerAddress),
			textFlag("announce-address", "IP:port for the upstream's announcements", "127.0.0.1:8082", &s.node.AnnounceAddress),
			textFlag("ready-address", "IP:port that answers 200 while callers should use the node", "127.0.0.1:8083", &s.node.ReadyAddress),
			textFlag("metrics-address", "IP:port for metrics, empty for none", "", &s.node.MetricsAddress),
			textFlag("routes", "path of the YAML file of routes; a node without one takes the table from the others", "", &s.routes.Path),
			&cli.StringSliceFlag{Name: "peers", Usage: "peer addresses of other nodes", Sources: cli.EnvVars("MTMESH_PEERS"), Destination: &s.peers},
			&cli.DurationFlag{Name: "stop-within", Usage: "time from the stop signal to the end of the process (at least 1s)", Value: 6 * time.Second, Sources: cli.EnvVars("MTMESH_STOP_WITHIN"), Destination: &s.node.StopWithin},
			&cli.FloatFlag{Name: "probes-per-second", Usage: "bound of the probes of the upstream", Value: 20, Sources: cli.EnvVars("MTMESH_PROBES_PER_SECOND"), Destination: &s.node.ProbesPerSecond},
			&cli.Int64Flag{Name: "header-memory-bytes", Usage: "memory for decoded headers beyond the first 16 KiB of each (0: an eighth of --memory-bytes, 32 MiB without it)", Sources: cli.EnvVars("MTMESH_HEADER_MEMORY_BYTES"), Destination: &s.node.HeaderMemoryBytes},
			&cli.Int64Flag{Name: "min-body-rate", Usage: "bytes per second below which the body of a request is stalled and gives way to others", Value: intake.DefaultLimits.BytesPerSecond, Sources: cli.EnvVars("MTMESH_MIN_BODY_RATE"), Destination: &s.node.Bodies.BytesPerSecond},
			&cli.DurationFlag{Name: "max-body-pause", Usage: "pause after which the body of a request is stalled", Value: intake.DefaultLimits.Pause, Sources: cli.EnvVars("MTMESH_MAX_BODY_PAUSE"), Destination: &s.node.Bodies.Pause},
			&cli.Int64Flag{Name: "memory-bytes", Usage: "memory that the process may use; a quarter of it is for bodies (0: 64 MiB for bodies)", Sources: cli.EnvVars("MTMESH_MEMORY_BYTES"), Destination: &s.node.MemoryBytes},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := s.validate(ctx); err != nil {
				return err
			}
			if o.check {
				return reportValid(c)
			}
			return s.run(ctx, o)
		},
	}
}

// validate checks the settings and the routes file, if there is one.
func (s *standaloneSettings) validate(ctx context.Context) error {
	if err := s.node.Validate(); err != nil {
		return err
	}
	published, err := s.routes.Newest(ctx)
	if err != nil || published.Encoded == nil {
		return err
	}
	_, err = s.routes.Decode(published.Encoded)
	return err
}

func (s *standaloneSettings) run(ctx context.Context, o options) error {
	out := event.NewAsyncWriter(os.Stdout)
	defer out.Close()
	events, err := o.logger(out)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return serve(ctx, s.node, mesh.Dependencies{
		Names: standalone.HeaderNames(), Configs: s.routes, Registry: standalone.Peers(s.peers),
		Announcements: standalone.Announcements(s.node.Service, s.node.UpstreamAddress, events),
		Events:        events, Dropped: out.Dropped,
	})
}
