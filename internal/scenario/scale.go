package scenario

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrytray/mulberrytray/internal/fleet"
)

// ScaleCost is the cost of running a fleet of one size.
type ScaleCost struct {
	Nodes, Services int
	// CPUPercent (in percent of a core), RSSBytes and ControlBytesPerSecond are means
	// per node without load.
	CPUPercent            float64
	RSSBytes              int64
	ControlBytesPerSecond float64
	// JoinTime is the time from the start of the last process until every node saw all
	// upstreams as ready.
	JoinTime time.Duration
	// RolloutTime is the time from a confirmation until the version was in effect at
	// all nodes.
	RolloutTime time.Duration
}

// failureDomains is the number of failure domains of a generated fleet. It is the
// number in the two-year target.
const failureDomains = 9

// scaleDeployment returns a deployment of n instances in s services.
func scaleDeployment(n, s int) *fleet.Deployment {
	d := &fleet.Deployment{Name: "scale", Region: "region-1", AddressPrefix: "127.40.0", Slots: 10}
	for i := range n {
		d.Instances = append(d.Instances, fleet.InstanceSpec{
			Service: fmt.Sprintf("service%d", i%s), FailureDomain: fmt.Sprintf("domain%d", i%failureDomains),
		})
	}
	return d
}

// scaleIntent returns an intent for s services. Different worths give different
// versions of the intent.
func scaleIntent(s int, worth int) string {
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range s {
		fmt.Fprintf(&b, "  - name: service%d\n", i)
	}
	fmt.Fprintf(&b, "ranks:\n  - {name: urgent, target_ms: 50, worth: %d, reserve_percent: 40, urgent: true}\n", worth)
	b.WriteString("  - {name: rest, target_ms: 1000, worth: 1, reserve_percent: 10}\n")
	b.WriteString("probing: {fleet_probes_per_second: 100, max_nodes: 100}\nnetwork: {caller_one_way_ms: 1, domain_one_way_ms: 0.5}\n")
	return b.String()
}

// MeasureScale starts a fleet of n nodes without load and measures its cost. window is
// both the time that the fleet has to settle and the length of the measurement.
func MeasureScale(ctx context.Context, binDir, logDir string, n, services int, window time.Duration) (ScaleCost, error) {
	f, err := fleet.Start(scaleDeployment(n, services), fleet.Options{BinDir: binDir, LogDir: logDir})
	defer f.Stop()
	if err != nil {
		return ScaleCost{}, err
	}
	started := time.Now()
	if _, err := f.PutIntent(ctx, scaleIntent(services, 10), "scale"); err != nil {
		return ScaleCost{}, err
	}
	if err := f.WaitReady(ctx); err != nil {
		return ScaleCost{}, err
	}
	joined := time.Since(started)
	// Joining costs more than the steady state, so let the fleet settle first.
	time.Sleep(window)
	s := ScaleCost{Nodes: n, Services: services, JoinTime: joined}
	if err := s.measureSteadyState(ctx, f, window); err != nil {
		return s, err
	}
	confirmed, err := f.PutIntent(ctx, scaleIntent(services, 20), "scale")
	s.RolloutTime = confirmed.RolloutTime
	return s, err
}

// measureSteadyState measures CPU, memory and control traffic of the nodes over the
// duration d.
func (s *ScaleCost) measureSteadyState(ctx context.Context, f *fleet.Fleet, d time.Duration) error {
	before, err := totalUsage(f)
	if err != nil {
		return err
	}
	bytesBefore, err := controlBytes(ctx, f)
	if err != nil {
		return err
	}
	time.Sleep(d)
	bytesAfter, err := controlBytes(ctx, f)
	if err != nil {
		return err
	}
	after, err := totalUsage(f)
	if err != nil {
		return err
	}
	n := float64(s.Nodes)
	s.CPUPercent = 100 * (after.CPU - before.CPU).Seconds() / d.Seconds() / n
	s.RSSBytes = after.RSSBytes / int64(s.Nodes)
	s.ControlBytesPerSecond = (bytesAfter - bytesBefore) / d.Seconds() / n
	return nil
}

// MissingMetricError reports that a node does not expose a metric, which would
// otherwise count as zero.
type MissingMetricError struct {
	Instance, Metric string
}

func (e *MissingMetricError) Error() string {
	return fmt.Sprintf("node %s does not expose %s", e.Instance, e.Metric)
}

// controlBytes returns the sum of control bytes sent and received by all nodes.
func controlBytes(ctx context.Context, f *fleet.Fleet) (float64, error) {
	sum := 0.0
	for _, i := range f.Instances {
		m, err := metrics(ctx, i)
		if err != nil {
			return 0, err
		}
		for _, name := range []string{"mulberrytray_control_bytes_in", "mulberrytray_control_bytes_out"} {
			value, ok := m[name]
			if !ok {
				return 0, &MissingMetricError{Instance: i.Name, Metric: name}
			}
			sum += value
		}
	}
	return sum, nil
}

// metrics returns the samples that a node exposes, keyed by name and labels.
func metrics(ctx context.Context, i *fleet.Instance) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.AdminURL()+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", i.Name, err)
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out, lines.Err()
}
