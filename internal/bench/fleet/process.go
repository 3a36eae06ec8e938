package fleet

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
)

// outputTail is how many bytes of the end of a process's output are kept.
const outputTail = 64 << 10

// Process is one child process of a fleet.
type Process struct {
	// Name is unique in the fleet.
	Name string
	// Role is "control", "gateway", "engine", "service", "platform" or "weights".
	Role string
	Zone string
	// Address serves clients; it may be the only address.
	Address string
	// InternalAddress serves administration and metrics; it is empty if there is only one
	// address.
	InternalAddress string
	Folder          string

	program   string
	arguments []string
	logFile   string
	// detached processes outlive the program that started them.
	detached bool

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	output  *tailBuffer
}

// journalName is the name of the file in which a stand-in records the requests that ran.
const journalName = "journal.jsonl"

// JournalFile returns the path of the file in which a stand-in records the requests that
// ran. The file outlives the process.
func (p *Process) JournalFile() string { return filepath.Join(p.Folder, journalName) }

// Start starts the process.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := os.MkdirAll(p.Folder, 0o755); err != nil {
		return errors.Wrapf(err, "create folder of %s", p.Name)
	}
	if p.output == nil {
		p.output = &tailBuffer{}
	}
	command := exec.Command(p.program, p.arguments...)
	output, err := p.openOutput()
	if err != nil {
		return err
	}
	command.Stdout = output
	command.Stderr = output
	if p.detached {
		command.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	} else {
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	}
	err = command.Start()
	if file, isFile := output.(*os.File); isFile {
		// The child has inherited its own descriptor.
		_ = file.Close()
	}
	if err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	p.command = command
	p.exited = make(chan struct{})
	go waitFor(command, p.exited)
	return nil
}

// openOutput returns the destination of the output: the log file if one is set, a file in
// the folder for a detached process, and memory otherwise.
func (p *Process) openOutput() (io.Writer, error) {
	if p.logFile != "" {
		file, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		return file, errors.Wrapf(err, "open log file of %s", p.Name)
	}
	if !p.detached {
		return p.output, nil
	}
	file, err := os.Create(filepath.Join(p.Folder, "output.log"))
	return file, errors.Wrapf(err, "create output file of %s", p.Name)
}

func waitFor(command *exec.Cmd, exited chan<- struct{}) {
	// The error is ignored: ProcessState has the exit status, and kills are expected.
	_ = command.Wait()
	close(exited)
}

// Pid returns the ID of the last started process, or zero.
func (p *Process) Pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Running returns whether the process has started and not exited.
func (p *Process) Running() bool {
	exited := p.exitedChannel()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

func (p *Process) exitedChannel() chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exited
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	if exited := p.exitedChannel(); exited != nil {
		<-exited
	}
}

// Terminate requests a graceful stop and waits until the process exits or the context ends.
func (p *Process) Terminate(ctx context.Context) error {
	p.signal(syscall.SIGTERM)
	exited := p.exitedChannel()
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-ctx.Done():
		return fault.Newf(fault.Unavailable, "read its log", "%s did not stop in time", p.Name)
	}
}

// Suspend stops the process with SIGSTOP.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// WriteLogs has a daemon that keeps its log entries in memory write them to its output.
func (p *Process) WriteLogs() { p.signal(syscall.SIGUSR1) }

// WipeDisk deletes the contents of the process's data folder. The process must not be running.
func (p *Process) WipeDisk() error {
	data := filepath.Join(p.Folder, dataFolderName)
	if err := os.RemoveAll(data); err != nil {
		return errors.Wrapf(err, "delete data folder of %s", p.Name)
	}
	return os.MkdirAll(data, 0o755)
}

// Output returns the end of the output that is kept in memory.
func (p *Process) Output() string {
	if p.output == nil {
		return ""
	}
	return p.output.String()
}

func (p *Process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	// Signaling a process that has already exited fails, which is expected.
	_ = p.command.Process.Signal(signal)
}

// CPUTime returns the user and system time of a process that has exited.
func (p *Process) CPUTime() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.ProcessState == nil {
		return 0
	}
	return p.command.ProcessState.UserTime() + p.command.ProcessState.SystemTime()
}

// tailBuffer keeps the last bytes written to it.
type tailBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (t *tailBuffer) Write(data []byte) (int, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.buffer.Write(data)
	if excess := t.buffer.Len() - outputTail; excess > 0 {
		t.buffer.Next(excess)
	}
	return len(data), nil
}

func (t *tailBuffer) String() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.buffer.String()
}
