package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/mulberrytray/mulberrytray/pkg/event"
)

// options holds the flags that mtmesh accepts both with the platform and standalone.
type options struct {
	logFormat, logLevel string
	check               bool
}

// flags returns the flags of a command followed by the flags that set o.
func (o *options) flags(commandFlags ...cli.Flag) []cli.Flag {
	return append(commandFlags,
		textFlag("log-format", "text or json", "json", &o.logFormat),
		textFlag("log-level", "least severity of the events written: debug, info, warn or error", "info", &o.logLevel),
		&cli.BoolFlag{Name: "check", Usage: "check the settings and exit", Destination: &o.check},
	)
}

// logger returns a logger that writes to w.
func (o *options) logger(w io.Writer) (*event.Logger, error) {
	level, err := log.ParseLevel(o.logLevel)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	return event.NewLogger(w, event.Format(o.logFormat), level), nil
}

// reportValid prints that --check found no invalid setting.
func reportValid(c *cli.Command) error {
	_, err := fmt.Fprintln(c.Root().Writer, "all settings are valid")
	return err
}

// textFlag returns a string flag that an environment variable can also set.
func textFlag(name, usage, value string, destination *string) cli.Flag {
	variable := "MTMESH_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Sources: cli.EnvVars(variable), Destination: destination}
}
