package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/retry"
)

const (
	// slowReaders is the number of callers that read large answers slowly. It is lower than
	// the total number of backend slots.
	slowReaders = 6
	// Slow readers read slowReadSize bytes every slowReadPause: a large answer takes longer
	// than the timeout of the request.
	slowReadSize  = 32 << 10
	slowReadPause = 400 * time.Millisecond
	// fastFraction is the fraction of large answers that are read at full speed.
	fastFraction = 0.3
	// memoryCheckInterval is the time between two checks of the memory of all processes.
	memoryCheckInterval = 500 * time.Millisecond
)

// slowReader is a caller that reads large answers slowly.
type slowReader struct {
	caller *caller
	random *rand.Rand
}

func newSlowReader(run *run, number int) *slowReader {
	caller := newCaller(run, callers+number)
	caller.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialSmallBuffer}}
	return &slowReader{caller: caller, random: rand.New(rand.NewPCG(run.seed, uint64(len("slow")+number)))}
}

// dialSmallBuffer opens a connection with a small receive buffer.
func dialSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if tcp, ok := connection.(*net.TCPConn); ok {
		err = tcp.SetReadBuffer(slowReadSize)
	}
	return connection, err
}

// read requests large answers until the context ends.
func (s *slowReader) read(ctx context.Context) {
	for number := 0; retry.Pause(ctx, callerPause); number++ {
		s.request(ctx, fmt.Sprintf("large-%d-%d", s.caller.number, number), s.random.Float64() < fastFraction)
	}
}

func (s *slowReader) request(parent context.Context, id string, fast bool) {
	run := s.caller.run
	at := run.site.randomRouter(s.random)
	ctx, cancel := context.WithTimeout(parent, callerTimeout)
	defer cancel()
	request, err := newRequest(ctx, at, backend.PathLarge+id, id, id, callerTimeout)
	if err != nil {
		return
	}
	run.witness.Sent(id, false)
	response, err := s.caller.client.Do(request)
	if err != nil {
		run.witness.Count("large answers: none")
		return
	}
	defer response.Body.Close()
	body, err := s.body(ctx, response.Body, fast)
	s.check(id, response, body, err)
}

// body reads an answer, slowly or at full speed.
func (s *slowReader) body(ctx context.Context, from io.Reader, fast bool) (string, error) {
	if fast {
		whole, err := io.ReadAll(from)
		return string(whole), err
	}
	read := strings.Builder{}
	for {
		n, err := io.CopyN(&read, from, slowReadSize)
		if err != nil {
			if err == io.EOF && n < slowReadSize {
				err = nil
			}
			return read.String(), err
		}
		if !retry.Pause(ctx, slowReadPause) {
			return read.String(), ctx.Err()
		}
	}
}

// check records in the witness what an answer shows. An incomplete one is only counted.
func (s *slowReader) check(id string, response *http.Response, body string, err error) {
	w, now := s.caller.run.witness, s.caller.run.elapsed()
	switch {
	case err != nil:
		w.Count("large answers: broken off")
	case response.StatusCode == http.StatusServiceUnavailable:
		w.Count("large answers: refused")
		w.Refused(id, now)
	case response.StatusCode != http.StatusOK:
		w.Count("large answers: failed")
	case body != backend.LargeAnswer(id):
		w.Report(witness.WrongAnswer, id, fmt.Sprintf("a large answer of %d bytes, want %d", len(body), len(backend.LargeAnswer(id))), now)
	default:
		w.Count("large answers: whole")
	}
}

// watchMemory checks until the context ends that no process exceeds its memory limit.
func (r *run) watchMemory(ctx context.Context) {
	reported := make(map[string]bool)
	for retry.Pause(ctx, memoryCheckInterval) {
		for _, each := range r.site.members {
			usage, err := fleet.ReadUsage(each.Pid())
			if err != nil || usage.ResidentBytes <= memoryMb<<20 || reported[each.Name] {
				// The usage of a process that is restarting can't be read.
				continue
			}
			reported[each.Name] = true
			r.witness.Report(witness.MemoryExceeded, each.Name, fmt.Sprintf("%d MB", usage.ResidentBytes>>20), r.elapsed())
		}
	}
}
