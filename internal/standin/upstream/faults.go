package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"
)

// Values of Faults.Distribution.
const (
	Constant    = "constant"
	Exponential = "exponential"
	LogNormal   = "lognormal"
)

const (
	// minStall and maxStall bound the duration of a stall, which simulates a noisy
	// neighbour of the VM.
	minStall = 5 * time.Millisecond
	maxStall = 50 * time.Millisecond
	// coldFactor is the slowdown when the process starts. It decreases linearly to 1
	// during the cold start.
	coldFactor = 4.0
	// maxFaultsBytes limits the body of PUT /faults.
	maxFaultsBytes = 4 << 10
)

// Faults holds the settings of PUT /faults. Each call replaces all of them.
type Faults struct {
	// ServiceTimeMs is the mean service time.
	ServiceTimeMs float64 `json:"service_time_ms"`
	// Distribution of the service time. Default constant.
	Distribution string `json:"distribution"`
	// Sigma of the lognormal distribution.
	Sigma float64 `json:"sigma"`
	// SlowFactor multiplies the service time. 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// StallProbability is the fraction of requests that stall for 5 to 50 ms.
	StallProbability float64 `json:"stall_probability"`
	// FailProbability is the fraction of requests that fail immediately with 500.
	FailProbability float64 `json:"fail_probability"`
	// RejectWhenFull makes the upstream reject requests immediately when all slots are in use.
	RejectWhenFull bool `json:"shed"`
	// LoadLagMs is the maximum age of a load report: GET /load repeats a report until
	// it is this old. 0 means that each report is current.
	LoadLagMs float64 `json:"load_lag_ms"`
	// LoadFactor multiplies the reported load. 0 means 1.
	LoadFactor float64 `json:"load_factor"`
}

// Validate returns an error for the first invalid field.
func (f Faults) Validate() error {
	switch {
	case f.Distribution != "" && f.Distribution != Constant && f.Distribution != Exponential && f.Distribution != LogNormal:
		return fmt.Errorf("distribution %q: must be constant, exponential or lognormal", f.Distribution)
	case f.StallProbability < 0 || f.StallProbability > 1 || f.FailProbability < 0 || f.FailProbability > 1:
		return fmt.Errorf("probabilities must be between 0 and 1")
	case f.ServiceTimeMs < 0 || f.Sigma < 0 || f.SlowFactor < 0 || f.LoadLagMs < 0 || f.LoadFactor < 0:
		return fmt.Errorf("numbers must not be negative")
	}
	return nil
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	return nil
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// serveFaults handles PUT /faults.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(io.LimitReader(r.Body, maxFaultsBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil {
		err = s.SetFaults(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, f)
}

// draw returns the random service time of a request and whether it fails immediately.
func (s *Server) draw() (serviceTime time.Duration, fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	ms := f.ServiceTimeMs
	switch f.Distribution {
	case Exponential:
		ms *= s.rng.ExpFloat64()
	case LogNormal:
		// The shift by sigma²/2 keeps the mean at ServiceTimeMs.
		ms *= math.Exp(f.Sigma*s.rng.NormFloat64() - f.Sigma*f.Sigma/2)
	}
	if f.SlowFactor > 0 {
		ms *= f.SlowFactor
	}
	if remaining := s.cfg.ColdStart - time.Since(s.start); remaining > 0 {
		ms *= 1 + (coldFactor-1)*float64(remaining)/float64(s.cfg.ColdStart)
	}
	serviceTime = time.Duration(ms * float64(time.Millisecond))
	if s.rng.Float64() < f.StallProbability {
		serviceTime += minStall + time.Duration(s.rng.Int64N(int64(maxStall-minStall)))
	}
	return serviceTime, s.rng.Float64() < f.FailProbability
}

// Load is the response to GET /load.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
}

// serveLoad handles GET /load. The faults can make the report stale or wrong.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	lag := time.Duration(s.faults.LoadLagMs * float64(time.Millisecond))
	if s.loadAt.IsZero() || time.Since(s.loadAt) >= lag {
		s.load = Load{InFlight: len(s.slots), Queued: int(s.waiting.Load()), Slots: s.cfg.Slots}
		s.loadAt = time.Now()
	}
	l, factor := s.load, s.faults.LoadFactor
	s.mu.Unlock()
	if factor > 0 {
		l.InFlight = int(float64(l.InFlight) * factor)
		l.Queued = int(float64(l.Queued) * factor)
	}
	writeJSON(w, l)
}
