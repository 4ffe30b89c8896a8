// Command mtctl is the operator's command-line client of mulberrytray.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
	exitRefused = 3
)

// usageError reports an invalid command line.
type usageError struct{ detail string }

func (e *usageError) Error() string { return e.detail + "; see --help" }

// refusedError reports an intent or a confirmation that the fleet rejected.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return "refused: " + e.reason }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := command().Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "mtctl:", err)
	stop()
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var usage *usageError
	var refused *refusedError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused):
		return exitRefused
	default:
		return exitFailure
	}
}

const description = `Examples:
  mtctl --node 127.0.0.1:8083 propose intent.yaml
  mtctl plan PROPOSAL
  mtctl confirm PROPOSAL DIGEST
  mtctl watch --timeout 8s 12
  mtctl -o json fleet
  mtctl drain katalog-1
  mtctl explain request 5f0c3c9e
  mtctl explain upstream katalog-1
  mtctl explain log 5f0c3c9e node-*.json
  mtctl report out/soak/1/*.log
  mtctl config check new.json --against in-force.json

Exit codes: 0 done, 1 failure, 2 wrong usage, 3 refused intent or confirmation.`

func command() *cli.Command {
	root := &cli.Command{
		Name:        "mtctl",
		Usage:       "operate a fleet of mulberrytray",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Value: "127.0.0.1:8083", Usage: "IP:port of a node's admin listener", Sources: cli.EnvVars("MTCTL_NODE")},
			&cli.StringFlag{Name: "operator", Value: os.Getenv("USER"), DefaultText: "$USER", Usage: "name for the audit trail, 1 to 64 bytes", Sources: cli.EnvVars("MTCTL_OPERATOR")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json", Validator: validOutput},
		},
		Action: noCommand,
		Commands: []*cli.Command{
			leafCommand("propose", "propose an intent and show its plan", "FILE", "mtctl propose intent.yaml", propose),
			leafCommand("plan", "show the plan of a pending proposal", "PROPOSAL", "mtctl plan 6f1c2a9e-0d7b-4c55-9f0e-2f6d1b1c9a77", showPlan),
			leafCommand("confirm", "put a proposal in force", "PROPOSAL DIGEST", "mtctl confirm 6f1c2a9e-0d7b-4c55-9f0e-2f6d1b1c9a77 DIGEST", confirm),
			watchCommand(),
			leafCommand("versions", "show the accepted versions", "", "mtctl -o json versions", versions),
			leafCommand("audit", "show the audit trail", "", "mtctl audit --limit 10", audit, &cli.Uint32Flag{Name: "limit", Value: 50, Usage: "newest entries shown, 1 to 1024"}),
			leafCommand("fleet", "show the members", "", "mtctl fleet", fleet),
			leafCommand("node", "show the state of the node asked", "", "mtctl --node 10.1.2.3:8083 node", node),
			leafCommand("drain", "give a node's upstream no new work", "NODE", "mtctl drain katalog-1", setDrain(true)),
			leafCommand("undrain", "give a node's upstream work again", "NODE", "mtctl undrain katalog-1", setDrain(false)),
			{Name: "explain", Usage: "show why a node decided as it did", Description: example("mtctl explain request 5f0c3c9e"), Action: noCommand, Commands: []*cli.Command{
				leafCommand("request", "show the decisions about a request", "ID", "mtctl explain request 5f0c3c9e", explainRequest),
				{Name: "log", Usage: "show what the logs of all nodes tell about a request", ArgsUsage: "ID [FILE...]", Description: example("mtctl explain log 5f0c3c9e node-*.json"), Action: explainLog},
				leafCommand("upstream", "show how an upstream is rated", "NODE", "mtctl explain upstream katalog-1", explainUpstream),
			}},
			reportCommand(),
			configCommand(),
		},
	}
	setUsageErrors(root)
	return root
}

// example returns the description of a command: one example line.
func example(line string) string { return "Example:\n  " + line }

// leafCommand returns a command without subcommands. The command accepts the arguments
// that args lists and rejects a wrong number of them.
func leafCommand(name, usage, args, exampleLine string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	maxArgs := countFields(args)
	// Optional arguments are in brackets and follow the required ones.
	minArgs := countFields(strings.Split(args, "[")[0])
	return &cli.Command{Name: name, Usage: usage, ArgsUsage: args, Description: example(exampleLine), Flags: flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			if n := c.Args().Len(); n < minArgs || n > maxArgs {
				return &usageError{fmt.Sprintf("%s takes %d arguments: %s", name, maxArgs, args)}
			}
			return action(ctx, c)
		}}
}

// noCommand returns the usage error for an unknown or missing command.
func noCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return &usageError{fmt.Sprintf("unknown command %q", c.Args().First())}
	}
	return &usageError{"no command given"}
}

// setUsageErrors turns invalid flags of the command and its subcommands into usage errors.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err.Error()}
	}
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
}

// callTimeout bounds one call to a node. The node itself spends at most 8 s on reading
// and appending to the log and 2 s on the measurement of the fleet.
const callTimeout = 12 * time.Second

// client returns a client of the node that the --node flag names.
func client(c *cli.Command) pbconnect.OperatorServiceClient {
	return clientAt(c.String("node"))
}

func clientAt(address string) pbconnect.OperatorServiceClient {
	return pbconnect.NewOperatorServiceClient(&http.Client{Timeout: callTimeout}, "http://"+address)
}
