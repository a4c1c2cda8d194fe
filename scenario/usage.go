package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the user and system time since the start of the process.
	CPU time.Duration
	// RSSMB is the resident set size in MiB.
	RSSMB float64
}

const (
	// ticksPerSecond is the kernel's USER_HZ, the unit of CPU times in /proc/PID/stat.
	ticksPerSecond = 100
	// Indices of fields of /proc/PID/stat, counted from 0 after the program's name.
	statUserTicks   = 11
	statSystemTicks = 12
	statRSSPages    = 21
)

// Usage reads the resource usage of the process from /proc/PID/stat.
func (p *Process) Usage() (Usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, fmt.Errorf("reading the usage of process %d: %w", p.Pid(), err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= statRSSPages {
		return Usage{}, fmt.Errorf("/proc/%d/stat has only %d fields after the name", p.Pid(), len(fields))
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
