package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	// CPU is the sum of user and system processor time.
	CPU time.Duration
	// RSSBytes is the current resident memory.
	RSSBytes int64
}

// clockTick is the unit of processor times in /proc on Linux (USER_HZ).
const clockTick = 10 * time.Millisecond

// Usage reads the process's usage from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, fmt.Errorf("read usage of %s: %w", p.Name, err)
	}
	// The second field is the program's name in parentheses and may contain spaces. The
	// indexes below count the fields after it from 0.
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	if !ok || len(fields) <= residentPages {
		return Usage{}, fmt.Errorf("read usage of %s: unexpected format of /proc stat file", p.Name)
	}
	var values [3]int64
	for i, f := range []int{userTime, systemTime, residentPages} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return Usage{}, fmt.Errorf("read usage of %s: %w", p.Name, err)
		}
	}
	return Usage{
		CPU:      time.Duration(values[0]+values[1]) * clockTick,
		RSSBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}
