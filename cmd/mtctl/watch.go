package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
)

const (
	// maxStatusCalls bounds the number of nodes queried at the same time.
	maxStatusCalls = 32
	// nodeStatusTimeout bounds the status call to one node.
	nodeStatusTimeout = time.Second
	// watchInterval is the delay between two rounds.
	watchInterval = 500 * time.Millisecond
)

// laggingNode is a node at which the version is not in effect, and the reason.
type laggingNode struct {
	Node   string `json:"node"`
	Reason string `json:"reason"`
}

// watchResult is the result of one round.
type watchResult struct {
	Version uint64        `json:"version"`
	Alive   int           `json:"alive"`
	Missing []laggingNode `json:"missing"`
}

func watchCommand() *cli.Command {
	return leafCommand("watch", "wait until a version, or else the newest one, is in effect at all alive members", "[VERSION]", "mtctl watch --timeout 8s 12", watch,
		&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "how long to wait"})
}

// watch queries the alive members in rounds until the version is in effect at all of them
// or the timeout has passed.
func watch(ctx context.Context, c *cli.Command) error {
	version, err := targetVersion(ctx, c)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Duration("timeout"))
	shown := ""
	for {
		result, err := watchOnce(ctx, c, version)
		if err != nil {
			return err
		}
		done := len(result.Missing) == 0 && result.Alive > 0
		if done || time.Now().After(deadline) || ctx.Err() != nil {
			return reportWatch(c, result, done)
		}
		if line := waitMessage(result); line != shown {
			fmt.Fprintln(c.Root().ErrWriter, line)
			shown = line
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}

// errNoVersion is returned if no version was given and no member has one.
var errNoVersion = errors.New("no member has a configuration yet")

// targetVersion returns the given version, or else the newest version of any member.
func targetVersion(ctx context.Context, c *cli.Command) (uint64, error) {
	if c.Args().Len() > 0 {
		version, err := strconv.ParseUint(c.Args().First(), 10, 64)
		if err != nil {
			return 0, &usageError{fmt.Sprintf("version %q is not a number", c.Args().First())}
		}
		return version, nil
	}
	status, err := fleetStatus(ctx, c)
	if err != nil {
		return 0, err
	}
	newest := uint64(0)
	for _, m := range status.Members {
		newest = max(newest, m.ConfigVersion)
	}
	if newest == 0 {
		return 0, errNoVersion
	}
	return newest, nil
}

// maxNamedNodes bounds the nodes named in a wait message. The final result names all.
const maxNamedNodes = 5

// waitMessage names nodes that do not have the version yet, with the reasons.
func waitMessage(r watchResult) string {
	var names []string
	for _, l := range r.Missing[:min(len(r.Missing), maxNamedNodes)] {
		names = append(names, fmt.Sprintf("%s (%s)", l.Node, l.Reason))
	}
	if more := len(r.Missing) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return fmt.Sprintf("waiting for %d of %d: %s", len(r.Missing), r.Alive, strings.Join(names, ", "))
}

// watchOnce runs one round.
func watchOnce(ctx context.Context, c *cli.Command, version uint64) (watchResult, error) {
	status, err := fleetStatus(ctx, c)
	if err != nil {
		return watchResult{}, err
	}
	var alive []*pb.Member
	for _, m := range status.Members {
		// A suspect member may still serve with an older version.
		if m.Status <= pb.MemberStatus_MEMBER_STATUS_SUSPECT {
			alive = append(alive, m)
		}
	}
	return watchResult{Version: version, Alive: len(alive), Missing: laggingNodes(ctx, alive, version)}, nil
}

// laggingNodes queries all nodes and returns those without the version, in the given order.
func laggingNodes(ctx context.Context, nodes []*pb.Member, version uint64) []laggingNode {
	reasons := make([]string, len(nodes))
	semaphore := make(chan struct{}, maxStatusCalls)
	var wg sync.WaitGroup
	for i, m := range nodes {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			reasons[i] = lagReason(ctx, m, version)
		})
	}
	wg.Wait()
	missing := []laggingNode{}
	for i, reason := range reasons {
		if reason != "" {
			missing = append(missing, laggingNode{nodes[i].NodeId, reason})
		}
	}
	return missing
}

// lagReason returns why the node does not have the version, or "".
func lagReason(ctx context.Context, m *pb.Member, version uint64) string {
	ctx, cancel := context.WithTimeout(ctx, nodeStatusTimeout)
	defer cancel()
	resp, err := clientAt(m.AdminAddress).NodeStatus(ctx, connect.NewRequest(&pb.NodeStatusRequest{}))
	switch {
	case err != nil:
		return "no answer: " + err.Error()
	case resp.Msg.ConfigVersion >= version:
		return ""
	case !resp.Msg.LogReachable:
		return fmt.Sprintf("has version %d; log unreachable: %s", resp.Msg.ConfigVersion, resp.Msg.LogError)
	default:
		return fmt.Sprintf("has version %d", resp.Msg.ConfigVersion)
	}
}

func reportWatch(c *cli.Command, r watchResult, done bool) error {
	rows := [][]string{{"NODE", "REASON"}}
	for _, l := range r.Missing {
		rows = append(rows, []string{l.Node, l.Reason})
	}
	if done {
		rows = [][]string{{fmt.Sprintf("version %d is in effect at all %d alive members", r.Version, r.Alive)}}
	}
	if err := show(c, r, rows); err != nil {
		return err
	}
	if !done {
		return fmt.Errorf("version %d is not in effect at %d of %d alive members", r.Version, len(r.Missing), r.Alive)
	}
	return nil
}
