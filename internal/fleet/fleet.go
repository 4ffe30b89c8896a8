package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"connectrpc.com/connect"

	pb "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1"
	pbconnect "github.com/mulberrytray/mulberrytray/gen/mulberrytray/v1/mulberrytrayv1connect"
)

// Ports of a node, its upstream and the platform log on their loopback addresses.
const (
	portCaller   = 8080
	portPeer     = 8081
	portLocal    = 8082
	portAdmin    = 8083
	portUpstream = 8091
	portLog      = 8090
)

// Instance represents one VM: a node and the upstream beside it.
type Instance struct {
	Name          string
	Service       string
	FailureDomain string
	IP            string
	Node          *Process
	Upstream      *Process
}

// CallerURL returns the base URL of the node's caller listener.
func (i *Instance) CallerURL() string { return i.url(portCaller) }

// PeerURL returns the base URL of the node's peer listener.
func (i *Instance) PeerURL() string { return i.url(portPeer) }

// AdminURL returns the base URL of the node's admin listener.
func (i *Instance) AdminURL() string { return i.url(portAdmin) }

// UpstreamURL returns the base URL of the upstream.
func (i *Instance) UpstreamURL() string { return i.url(portUpstream) }

func (i *Instance) url(port int) string { return fmt.Sprintf("http://%s:%d", i.IP, port) }

func (i *Instance) address(port int) string { return fmt.Sprintf("%s:%d", i.IP, port) }

// Operator returns a client of the node's operator API.
func (i *Instance) Operator() pbconnect.OperatorServiceClient {
	return pbconnect.NewOperatorServiceClient(&http.Client{Timeout: 15 * time.Second}, i.AdminURL())
}

// Options configures a fleet.
type Options struct {
	BinDir string
	// LogDir receives the log files with the output of the processes.
	LogDir string
	// JournalDir, if set, receives one journal of executions per upstream.
	JournalDir string
	// NodeArgs, UpstreamArgs and LogArgs are appended to the arguments of each node,
	// each upstream and the platform log.
	NodeArgs     []string
	UpstreamArgs []string
	LogArgs      []string
}

// Fleet is a running deployment. It is not safe for concurrent use, except that
// different goroutines may use different instances.
type Fleet struct {
	Deployment *Deployment
	Instances  []*Instance
	Log        *Process

	opts     Options
	launcher *Launcher
}

// Start starts all processes of a deployment. The caller must call Stop even if
// Start returns an error.
func Start(d *Deployment, opts Options) (*Fleet, error) {
	f := &Fleet{Deployment: d, opts: opts, launcher: &Launcher{BinDir: opts.BinDir, LogDir: opts.LogDir}}
	if err := f.StartLog(); err != nil {
		return f, err
	}
	counts := map[string]int{}
	for n, spec := range d.Instances {
		counts[spec.Service]++
		i := &Instance{
			Name:    spec.Service + "-" + strconv.Itoa(counts[spec.Service]),
			Service: spec.Service, FailureDomain: spec.FailureDomain,
			IP: fmt.Sprintf("%s.%d", d.AddressPrefix, n+1),
		}
		f.Instances = append(f.Instances, i)
		if err := errors.Join(f.StartNode(i), f.StartUpstream(i)); err != nil {
			return f, err
		}
	}
	return f, nil
}

// LogURL returns the base URL of the stand-in for the platform log.
func (f *Fleet) LogURL() string {
	return fmt.Sprintf("http://%s.250:%d", f.Deployment.AddressPrefix, portLog)
}

// StartLog starts the stand-in for the platform log.
func (f *Fleet) StartLog() error {
	args := append([]string{"--address", fmt.Sprintf("%s.250:%d", f.Deployment.AddressPrefix, portLog)}, f.opts.LogArgs...)
	var err error
	f.Log, err = f.launcher.Start("log", "mtlog", args...)
	return err
}

// StartNode starts or restarts an instance's node.
func (f *Fleet) StartNode(i *Instance) error {
	args := append([]string{
		"--node-id", i.Name, "--region", f.Deployment.Region, "--failure-domain", i.FailureDomain,
		"--caller-address", i.address(portCaller), "--peer-address", i.address(portPeer),
		"--local-address", i.address(portLocal), "--admin-address", i.address(portAdmin), "--log-url", f.LogURL(),
	}, f.opts.NodeArgs...)
	var err error
	i.Node, err = f.launcher.Start(i.Name, "mtnode", args...)
	return err
}

// StartUpstream starts or restarts an instance's upstream.
func (f *Fleet) StartUpstream(i *Instance) error {
	args := append([]string{
		"--service", i.Service, "--address", i.address(portUpstream),
		"--announce-url", i.url(portLocal) + "/v1/announce", "--node-url", i.CallerURL(), "--slots", strconv.Itoa(f.Deployment.Slots),
	}, f.opts.UpstreamArgs...)
	if f.opts.JournalDir != "" {
		args = append(args, "--journal", filepath.Join(f.opts.JournalDir, i.Name+".journal"))
	}
	var err error
	i.Upstream, err = f.launcher.Start(i.Name+"-upstream", "mtupstream", args...)
	return err
}

// StopNode sends SIGTERM to an instance's node and waits at most limit for its exit.
func (i *Instance) StopNode(limit time.Duration) error {
	if err := i.Node.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop node %s: %w", i.Name, err)
	}
	return i.Node.Wait(limit)
}

// StopUpstream sends SIGTERM to an instance's upstream and waits at most limit for
// its exit.
func (i *Instance) StopUpstream(limit time.Duration) error {
	if err := i.Upstream.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop upstream %s: %w", i.Name, err)
	}
	return i.Upstream.Wait(limit)
}

// Stop kills all processes and waits until they have exited.
func (f *Fleet) Stop() { f.launcher.Stop() }

// ServiceInstances returns the instances of a service.
func (f *Fleet) ServiceInstances(service string) []*Instance {
	var out []*Instance
	for _, i := range f.Instances {
		if i.Service == service {
			out = append(out, i)
		}
	}
	return out
}

const pollInterval = 50 * time.Millisecond

// WaitFor calls ready every pollInterval until it returns nil. If the context ends
// first, WaitFor returns the last error of ready.
func WaitFor(ctx context.Context, ready func() error) error {
	for {
		err := ready()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// ConfirmedIntent is the result of PutIntent.
type ConfirmedIntent struct {
	Version  uint64
	PlanJSON string
	// RolloutTime is the time from the confirmation until the version was in effect
	// at all nodes.
	RolloutTime time.Duration
}

// PutIntent proposes and confirms an intent at the first node and waits until it
// is in effect at all nodes.
func (f *Fleet) PutIntent(ctx context.Context, intentYAML, operator string) (ConfirmedIntent, error) {
	op := f.Instances[0].Operator()
	var proposal *connect.Response[pb.ProposeResponse]
	var rejected error
	err := WaitFor(ctx, func() (err error) {
		proposal, err = op.Propose(ctx, connect.NewRequest(&pb.ProposeRequest{IntentYaml: intentYAML, Operator: operator}))
		if connect.CodeOf(err) == connect.CodeInvalidArgument {
			rejected = err
			return nil
		}
		return err
	})
	if err = errors.Join(err, rejected); err != nil {
		return ConfirmedIntent{}, fmt.Errorf("propose: %w", err)
	}
	begin := time.Now()
	confirmed, err := op.Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{
		ProposalId: proposal.Msg.ProposalId, PlanDigest: proposal.Msg.PlanDigest, Operator: operator,
	}))
	if err != nil {
		return ConfirmedIntent{}, fmt.Errorf("confirm: %w", err)
	}
	if !confirmed.Msg.Accepted {
		return ConfirmedIntent{}, fmt.Errorf("confirm: node rejected the proposal: %s", confirmed.Msg.Reason)
	}
	err = f.WaitVersion(ctx, confirmed.Msg.Version)
	return ConfirmedIntent{Version: confirmed.Msg.Version, PlanJSON: proposal.Msg.PlanJson, RolloutTime: time.Since(begin)}, err
}

// WaitVersion waits until all running nodes have this version or a later one in
// effect.
func (f *Fleet) WaitVersion(ctx context.Context, version uint64) error {
	for _, i := range f.Instances {
		err := WaitFor(ctx, func() error {
			if !i.Node.Running() {
				return nil
			}
			s, err := i.Operator().NodeStatus(ctx, connect.NewRequest(&pb.NodeStatusRequest{}))
			if err != nil {
				return err
			}
			if s.Msg.ConfigVersion < version {
				return fmt.Errorf("node %s has config version %d, want at least %d", i.Name, s.Msg.ConfigVersion, version)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until every node sees all members alive with a ready upstream.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, i := range f.Instances {
		if err := WaitFor(ctx, func() error { return f.checkAllReady(ctx, i) }); err != nil {
			return err
		}
	}
	return nil
}

// checkAllReady returns an error unless the node of i sees all upstreams as ready.
func (f *Fleet) checkAllReady(ctx context.Context, i *Instance) error {
	s, err := i.Operator().FleetStatus(ctx, connect.NewRequest(&pb.FleetStatusRequest{}))
	if err != nil {
		return err
	}
	ready := 0
	for _, m := range s.Msg.Members {
		if m.Status == pb.MemberStatus_MEMBER_STATUS_ALIVE && m.UpstreamState == pb.UpstreamState_UPSTREAM_STATE_READY {
			ready++
		}
	}
	if ready < len(f.Instances) {
		return fmt.Errorf("node %s sees %d of %d upstreams as ready", i.Name, ready, len(f.Instances))
	}
	return nil
}
