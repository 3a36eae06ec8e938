package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// host is the host of all routes.
	host = "soak.example"
	// callers is how many callers send online requests, one at a time each.
	callers = 6
	// callerPause is the longest pause between two requests of a caller.
	callerPause = 60 * time.Millisecond
	// patience is how long a caller waits, and abandonPart the part of the requests
	// that it leaves early.
	patience    = 4 * time.Second
	abandonPart = 0.03
	// shortestStay is the shortest time after which a caller leaves.
	shortestStay = 5 * time.Millisecond
)

// onlinePaths are the routes of online requests; the second may run once only.
var onlinePaths = []string{backend.PathSafe, backend.PathOnce, backend.PathStream, backend.PathResumable}

// caller sends online requests to routers.
type caller struct {
	run    *run
	number int
	random *rand.Rand
	client *http.Client
	sent   int
}

func newCaller(run *run, number int) *caller {
	return &caller{
		run: run, number: number, random: rand.New(rand.NewPCG(run.seed, uint64(number))),
		client: &http.Client{Transport: &http.Transport{}},
	}
}

// call sends requests until the context ends.
func (c *caller) call(ctx context.Context) {
	for retry.Pause(ctx, time.Duration(c.random.Int64N(int64(callerPause)))) {
		c.request(ctx)
	}
}

// request sends one request of a random kind to a random router.
func (c *caller) request(ctx context.Context) {
	c.sent++
	path := onlinePaths[c.random.IntN(len(onlinePaths))]
	id := fmt.Sprintf("r-%d-%d", c.number, c.sent)
	at := c.run.site.someRouter(c.random)
	stay := patience
	if c.random.Float64() < abandonPart {
		stay = shortestStay + time.Duration(c.random.Int64N(int64(patience/20)))
	}
	c.run.witness.Sent(id, path == backend.PathOnce || path == backend.PathStream)
	calling, cancel := context.WithTimeout(ctx, stay)
	defer cancel()
	c.judge(id, path, c.send(calling, at, path, id, stay))
}

// answer is what came back of a request.
type answer struct {
	status int
	body   string
	id     string
	err    error
}

// newRequest returns a request to a router whose caller waits so long.
func newRequest(ctx context.Context, at *member, path, id, body string, stay time.Duration) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.settings.GetListen()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Header.Set(upstream.HeaderRequestID, id)
	request.Header.Set(router.HeaderTimeLeft, strconv.FormatInt(stay.Milliseconds(), 10))
	return request, nil
}

func (c *caller) send(ctx context.Context, at *member, path, id string, stay time.Duration) answer {
	request, err := newRequest(ctx, at, path+id, id, "ask "+id, stay)
	if err != nil {
		return answer{err: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), id: response.Header.Get(upstream.HeaderRequestID), err: err}
}

// judge tells the witness what an answer shows.
func (c *caller) judge(id, path string, got answer) {
	w, now := c.run.witness, c.run.since()
	w.Count("requests")
	switch {
	case got.err != nil:
		w.Count("requests without a whole answer")
	case got.status == http.StatusOK:
		c.judgeWhole(id, path, got)
	case got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests:
		w.Count("requests refused")
		w.Refused(id, now)
	case got.status >= http.StatusInternalServerError:
		w.Count("requests failed")
	default:
		w.Report(witness.Denied, id, fmt.Sprintf("status %d: %s", got.status, got.body), now)
	}
}

func (c *caller) judgeWhole(id, path string, got answer) {
	w, now := c.run.witness, c.run.since()
	want := backend.Answer(id)
	found := got.body
	if path == backend.PathStream || path == backend.PathResumable {
		want, found = backend.StreamText(id), dataOf(got.body)
	}
	if found != want || got.id != id {
		w.Report(witness.WrongAnswer, id, fmt.Sprintf("answer of %q: %q, want %q", got.id, found, want), now)
		return
	}
	w.Count("requests served")
}

// dataOf joins the data of all events of a stream.
func dataOf(stream string) string {
	var lines []string
	for line := range strings.Lines(stream) {
		if data, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: "); found {
			lines = append(lines, data)
		}
	}
	return strings.Join(lines, "\n")
}

// recovered tells whether every router serves a request of each kind within a time.
func (r *run) recovered(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r.probes++
	probing := newCaller(r, callers+r.probes)
	for _, at := range r.site.routers() {
		for _, path := range onlinePaths {
			if err := probing.until(ctx, at, path); err != nil {
				return err
			}
		}
	}
	return nil
}

// until sends requests to one router until one is served.
func (c *caller) until(ctx context.Context, at *member, path string) error {
	for {
		c.sent++
		id := fmt.Sprintf("r-%d-%d", c.number, c.sent)
		c.run.witness.Sent(id, path == backend.PathOnce || path == backend.PathStream)
		calling, cancel := context.WithTimeout(ctx, patience)
		got := c.send(calling, at, path, id, patience)
		cancel()
		c.judge(id, path, got)
		if got.err == nil && got.status == http.StatusOK {
			return nil
		}
		if !retry.Pause(ctx, callerPause) {
			return fmt.Errorf("%s does not serve %s: status %d %s, %v", at.Name, path, got.status, got.body, got.err)
		}
	}
}
