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

// outputTail is how many bytes of a process's output are kept for reports.
const outputTail = 64 << 10

// Process is one child process of a fleet.
type Process struct {
	// Name is unique in the fleet.
	Name string
	// Role is "control", "gateway", "engine", "service", "platform" or "weights".
	Role string
	// Zone is where the process stands.
	Zone string
	// Address is where it serves callers, or its only address.
	Address string
	// InternalAddress serves administration and metrics; empty where there is
	// only one address.
	InternalAddress string
	// Folder is the process's own folder.
	Folder string

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

// journalName is the file in which a stand-in notes the requests that ran.
const journalName = "journal.jsonl"

// JournalFile is where a stand-in notes the requests that ran. It survives the
// end of the process.
func (p *Process) JournalFile() string { return filepath.Join(p.Folder, journalName) }

// Start runs the process.
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
		// The process has its own descriptor now.
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

// openOutput is where the process prints to: a file for a detached process,
// memory otherwise.
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
	// The exit status is read from ProcessState; a kill is no error here.
	_ = command.Wait()
	close(exited)
}

// Pid is the identity of the running process, or zero.
func (p *Process) Pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Running tells whether the process has not ended.
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

// Kill ends the process without warning and waits until it is gone.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	if exited := p.exitedChannel(); exited != nil {
		<-exited
	}
}

// Terminate asks for a planned stop and waits for the end until the context is
// over.
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

// Suspend stops the process from running without its noticing.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process run on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// WipeDisk removes the process's data folder. The process must not be running.
func (p *Process) WipeDisk() error {
	data := filepath.Join(p.Folder, dataFolderName)
	if err := os.RemoveAll(data); err != nil {
		return errors.Wrapf(err, "wipe disk of %s", p.Name)
	}
	return os.MkdirAll(data, 0o755)
}

// Output is the tail of what the process printed.
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
	// A process that has already ended cannot be signalled; that is no fault.
	_ = p.command.Process.Signal(signal)
}

// CPUTime is the processor time that an ended process used.
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
