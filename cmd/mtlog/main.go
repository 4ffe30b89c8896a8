// Command mtlog runs a stand-in for the platform's log service.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/internal/standin/platformlog"
)

func main() {
	cmd := &cli.Command{
		Name:  "mtlog",
		Usage: "run a stand-in for the platform's log service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:8090", Usage: "IP:port to listen on"},
			&cli.DurationFlag{Name: "retention", Value: time.Hour, Usage: "how long records are kept"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			s := platformlog.New(c.Duration("retention"))
			srv := &http.Server{Addr: c.String("address"), Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
			return srv.ListenAndServe()
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "mtlog:", err)
		os.Exit(1)
	}
}
