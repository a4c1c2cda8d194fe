package scenario

import (
	"fmt"
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a program started by a fleet.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	// log is the path of the file with the program's output.
	log string
}

// run waits for the end of the process and then closes done.
func (p *Process) run() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Pause stops the process with SIGSTOP. It returns once all threads have stopped, which is some time after the signal is sent.
func (p *Process) Pause() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("pausing process %d: %w", p.cmd.Process.Pid, err)
	}
	for {
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return fmt.Errorf("waiting until process %d is paused: %w", p.cmd.Process.Pid, err)
		}
		return nil
	}
}

// Kill sends SIGKILL to the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Await waits for the end of the process for at most the limit and returns its exit status.
func (p *Process) Await(limit time.Duration) (int, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-t.C:
		return 0, fmt.Errorf("process %d is still running after %s", p.cmd.Process.Pid, limit)
	}
}

// Pid returns the process ID.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}
