// Command mtnode runs one node of mulberrytray beside an upstream VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/pkg/event"
	"github.com/mulberrytray/mulberrytray/pkg/node"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtnode:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var s node.Settings
	var check bool
	return &cli.Command{
		Name:  "mtnode",
		Usage: "run one node of mulberrytray beside an upstream VM",
		Flags: []cli.Flag{
			textFlag("node-id", "unique name of the node, 1 to 64 characters of a-z, 0-9, '.', '_' and '-'", "", &s.NodeID),
			textFlag("region", "region of the VM, a name like that of the node", "default", &s.Region),
			textFlag("failure-domain", "failure domain of the VM, a name like that of the node", "", &s.FailureDomain),
			textFlag("caller-address", "IP:port for callers", "127.0.0.1:8080", &s.CallerAddress),
			textFlag("peer-address", "IP:port for other nodes", "127.0.0.1:8081", &s.PeerAddress),
			textFlag("local-address", "IP:port for the upstream beside the node", "127.0.0.1:8082", &s.LocalAddress),
			textFlag("admin-address", "IP:port for operators and metrics", "127.0.0.1:8083", &s.AdminAddress),
			textFlag("log-url", "base URL of the platform's log", "", &s.LogURL),
			&cli.StringSliceFlag{Name: "peers", Usage: "IP:port of other nodes' peer listeners, for the first contact", Sources: cli.EnvVars("MTNODE_PEERS"), Destination: &s.Peers},
			durationFlag("default-timeout", "timeout of requests that state none (1ms to 300s)", 10*time.Second, &s.DefaultTimeout),
			durationFlag("log-timeout", "limit of a call to the log (100ms to 30s)", 2*time.Second, &s.LogTimeout),
			durationFlag("log-retention", "how long the log keeps records (1m to 720h)", time.Hour, &s.LogRetention),
			durationFlag("probe-period", "time between two membership probes (50ms to 10s)", time.Second, &s.ProbePeriod),
			textFlag("log-format", "text or json", "text", &s.LogFormat),
			textFlag("log-level", "least severity of the events written: debug, info, warn or error", "info", &s.LogLevel),
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit", Destination: &check},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := s.Validate(); err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintln(c.Root().Writer, "all settings are valid")
				return err
			}
			level, err := log.ParseLevel(s.LogLevel)
			if err != nil {
				return err
			}
			return run(ctx, s, event.NewLogger(os.Stderr, event.Format(s.LogFormat), level))
		},
	}
}

func textFlag(name, usage, value string, destination *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: cli.EnvVars(envName(name)), Destination: destination}
}

func durationFlag(name, usage string, value time.Duration, destination *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Sources: cli.EnvVars(envName(name)), Destination: destination}
}

func run(ctx context.Context, s node.Settings, events *event.Logger) error {
	n, err := node.New(s, events)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := n.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	return n.Stop(context.Background())
}
