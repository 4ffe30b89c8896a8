package history

import (
	"testing"
	"time"

	"github.com/mulberrytray/mulberrytray/pkg/outcome"
)

// Each checker must find the violations of a broken history and accept an allowed one.
func TestCheckers(t *testing.T) {
	t0 := time.Unix(1000, 0)
	succeeded := Attempt{RequestID: "r1", Operation: "o1", Token: "t", Status: 200, Outcome: outcome.Run, Complete: true, WantBody: "a", GotBody: "a"}
	rejected := Attempt{RequestID: "r2", Operation: "o1", Token: "t", Status: 503, Outcome: outcome.NotRun, Complete: true}
	exec := func(id, up string, at time.Time) Execution {
		return Execution{Upstream: up, RequestID: id, Operation: "o1", Start: at}
	}
	tests := []struct {
		desc  string
		h     *History
		check func(*History) []Violation
		want  int
	}{
		{"not run and not executed", &History{Attempts: []Attempt{rejected}}, (*History).NoFalseNotRun, 0},
		{"not run but executed", &History{Attempts: []Attempt{rejected}, Executions: []Execution{exec("r2", "u", t0)}}, (*History).NoFalseNotRun, 1},
		{"one execution", &History{Attempts: []Attempt{succeeded, rejected}, Executions: []Execution{exec("r1", "u", t0)}}, (*History).AtMostOnce, 0},
		{"two executions of one token", &History{Attempts: []Attempt{succeeded, rejected}, Executions: []Execution{exec("r1", "u", t0), exec("r2", "v", t0)}}, (*History).AtMostOnce, 1},
		{
			"two executions of one attempt without token",
			&History{Attempts: []Attempt{{RequestID: "r3"}}, Executions: []Execution{exec("r3", "u", t0), exec("r3", "v", t0)}}, (*History).AtMostOnce, 1,
		},
		{
			"two executions of an idempotent attempt",
			&History{Attempts: []Attempt{{RequestID: "r3", Idempotent: true}}, Executions: []Execution{exec("r3", "u", t0), exec("r3", "v", t0)}}, (*History).AtMostOnce, 0,
		},
		{"response to the request", &History{Attempts: []Attempt{succeeded}}, (*History).ResponsesMatch, 0},
		{
			"response to another request",
			&History{Attempts: []Attempt{{Status: 200, Complete: true, WantBody: "a", GotBody: "b"}}}, (*History).ResponsesMatch, 1,
		},
		{"rejection before the run", &History{Attempts: []Attempt{succeeded, rejected}}, (*History).NoInterruptedAttempts, 0},
		{"incomplete response", &History{Attempts: []Attempt{{Status: 200, Outcome: outcome.Run}}}, (*History).NoInterruptedAttempts, 1},
		{
			"token of a stopped node",
			&History{Attempts: []Attempt{{RequestID: "r", Status: 410, Reason: outcome.ReasonTokenLost, Outcome: outcome.Unknown, Complete: true}}},
			(*History).NoInterruptedAttempts, 0,
		},
		{
			"token lost after the execution",
			&History{
				Attempts:   []Attempt{{RequestID: "r", Status: 410, Reason: outcome.ReasonTokenLost, Outcome: outcome.Unknown, Complete: true}},
				Executions: []Execution{exec("r", "u", t0)},
			},
			(*History).NoInterruptedAttempts, 1,
		},
		{"unknown outcome", &History{Attempts: []Attempt{{Status: 502, Outcome: outcome.Unknown, Complete: true}}}, (*History).NoInterruptedAttempts, 1},
		{
			"start within the bound",
			&History{UpstreamStops: []UpstreamStop{{"u", t0}}, Executions: []Execution{exec("r", "u", t0.Add(2*time.Second))}},
			func(h *History) []Violation { return h.NoLateStarts(3 * time.Second) }, 0,
		},
		{
			"start after the bound",
			&History{UpstreamStops: []UpstreamStop{{"u", t0}}, Executions: []Execution{exec("r", "u", t0.Add(4*time.Second))}},
			func(h *History) []Violation { return h.NoLateStarts(3 * time.Second) }, 1,
		},
		{
			"versions increase",
			&History{VersionSamples: []VersionSample{{"n", 1, t0}, {"n", 2, t0.Add(1)}, {"m", 1, t0.Add(2)}}}, (*History).VersionsNeverDecrease, 0,
		},
		{
			"version decreases",
			&History{VersionSamples: []VersionSample{{"n", 2, t0}, {"n", 1, t0.Add(1)}}}, (*History).VersionsNeverDecrease, 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			if got := tt.check(tt.h); len(got) != tt.want {
				t.Errorf("got %d violations %v, want %d", len(got), got, tt.want)
			}
		})
	}
}
