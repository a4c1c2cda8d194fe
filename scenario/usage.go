package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used.
type Usage struct {
	CPU   time.Duration
	RSSMB float64
}

const (
	ticksPerSecond = 100
	// The fields of /proc/PID/stat after the name, counted from 0.
	statUserTicks   = 11
	statSystemTicks = 12
	statRSSPages    = 21
)

// Usage reads what the process has used so far.
func (p *Process) Usage() (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, fmt.Errorf("reading the usage of process %d: %w", p.Pid(), err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= statRSSPages {
		return Usage{}, fmt.Errorf("process %d has %d fields of usage", p.Pid(), len(fields))
	}
	var ticks, pages float64
	for _, i := range []int{statUserTicks, statSystemTicks} {
		n, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Usage{}, fmt.Errorf("reading the usage of process %d: %w", p.Pid(), err)
		}
		ticks += n
	}
	pages, err = strconv.ParseFloat(fields[statRSSPages], 64)
	if err != nil {
		return Usage{}, fmt.Errorf("reading the usage of process %d: %w", p.Pid(), err)
	}
	return Usage{CPU: time.Duration(ticks / ticksPerSecond * float64(time.Second)), RSSMB: pages * float64(os.Getpagesize()) / (1 << 20)}, nil
}
