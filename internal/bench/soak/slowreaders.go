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
	// slowReaders is how many callers read large answers slowly. All of them together ask for
	// less at a time than the back ends have slots.
	slowReaders = 6
	// slowPiece is how much such a caller reads at a time, and slowPause the time between:
	// a large answer takes it longer than it waits.
	slowPiece = 32 << 10
	slowPause = 400 * time.Millisecond
	// briskPart is the part of the large answers that are read as fast as they come.
	briskPart = 0.3
	// memoryInterval is the time between two looks at the memory of the processes.
	memoryInterval = 500 * time.Millisecond
)

// slowReader is a caller that reads large answers slowly.
type slowReader struct {
	caller *caller
	random *rand.Rand
}

func newSlowReader(run *run, number int) *slowReader {
	made := newCaller(run, callers+number)
	made.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialNarrow}}
	return &slowReader{caller: made, random: rand.New(rand.NewPCG(run.seed, uint64(len("slow")+number)))}
}

// dialNarrow opens a connection that holds little of what its reader leaves unread.
func dialNarrow(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if narrow, ok := connection.(*net.TCPConn); ok {
		err = narrow.SetReadBuffer(slowPiece)
	}
	return connection, err
}

// read asks for large answers until the context ends.
func (s *slowReader) read(ctx context.Context) {
	for number := 0; retry.Pause(ctx, callerPause); number++ {
		s.request(ctx, fmt.Sprintf("large-%d-%d", s.caller.number, number), s.random.Float64() < briskPart)
	}
}

func (s *slowReader) request(parent context.Context, id string, brisk bool) {
	run := s.caller.run
	at := run.site.someRouter(s.random)
	ctx, cancel := context.WithTimeout(parent, patience)
	defer cancel()
	request, err := newRequest(ctx, at, backend.PathLarge+id, id, id, patience)
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
	body, err := s.body(ctx, response.Body, brisk)
	s.judge(id, response, body, err)
}

// body reads an answer, slowly or as fast as it comes.
func (s *slowReader) body(ctx context.Context, from io.Reader, brisk bool) (string, error) {
	if brisk {
		whole, err := io.ReadAll(from)
		return string(whole), err
	}
	read := strings.Builder{}
	for {
		n, err := io.CopyN(&read, from, slowPiece)
		if err != nil {
			if err == io.EOF && n < slowPiece {
				err = nil
			}
			return read.String(), err
		}
		if !retry.Pause(ctx, slowPause) {
			return read.String(), ctx.Err()
		}
	}
}

// judge tells the witness what an answer shows. One that broke off shows nothing.
func (s *slowReader) judge(id string, response *http.Response, body string, err error) {
	w, now := s.caller.run.witness, s.caller.run.since()
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

// watchMemory judges that no process keeps more than its settings give it, until the context
// ends.
func (r *run) watchMemory(ctx context.Context) {
	reported := make(map[string]bool)
	for retry.Pause(ctx, memoryInterval) {
		for _, each := range r.site.members {
			usage, err := fleet.ReadUsage(each.Pid())
			if err != nil || usage.ResidentBytes <= memoryMb<<20 || reported[each.Name] {
				// A process that is being started again has no usage to read.
				continue
			}
			reported[each.Name] = true
			r.witness.Report(witness.MemoryExceeded, each.Name, fmt.Sprintf("%d MB", usage.ResidentBytes>>20), r.since())
		}
	}
}
