// Command mtupstream runs a stand-in for an upstream.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/internal/standin/journal"
	"github.com/mulberrytray/mulberrytray/internal/standin/upstream"
)

func main() {
	cmd := &cli.Command{
		Name:  "mtupstream",
		Usage: "run a stand-in for an upstream",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:8091", Usage: "IP:port to listen on"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "name of the service"},
			&cli.StringFlag{Name: "announce-url", Required: true, Usage: "announcement endpoint of the node beside the upstream"},
			&cli.IntFlag{Name: "slots", Value: 10, Usage: "requests served at the same time"},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "mean time per request"},
			&cli.StringFlag{Name: "node-url", Usage: "caller listener of the node beside the upstream, for requests with X-Call"},
			&cli.DurationFlag{Name: "cold-start", Usage: "time in which the upstream is warming and slower"},
			&cli.StringFlag{Name: "journal", Usage: "file that records each execution before it starts"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random service times and faults"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtupstream:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	cfg := upstream.Config{
		Service: c.String("service"), Address: c.String("address"), AnnounceURL: c.String("announce-url"),
		Slots: c.Int("slots"), ServiceTime: c.Duration("service-time"),
		NodeURL: c.String("node-url"), ColdStart: c.Duration("cold-start"), Seed: c.Uint64("seed"),
	}
	if path := c.String("journal"); path != "" {
		w, err := journal.Open(path)
		if err != nil {
			return err
		}
		cfg.OnExecute = w.Add
	}
	s := upstream.New(cfg)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	srv := &http.Server{Addr: c.String("address"), Handler: s, ReadHeaderTimeout: 5 * time.Second}
	// Announcements continue after the signal, to report that the upstream is draining.
	go s.Announce(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.ListenAndServe() }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	s.Drain()
	// Gives nodes time to receive the announcement before the listener closes.
	time.Sleep(time.Second)
	if err := srv.Shutdown(context.Background()); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
