package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/router"
)

const (
	// A content or part that crashes backends is sent again for crashingDuration; the next one
	// follows after crashingPause.
	crashingDuration = 12 * time.Second
	crashingPause    = 2 * time.Second
	// crashingRetryPause is the maximum time between two requests with the same content or part.
	crashingRetryPause = 900 * time.Millisecond
)

// crashingPaths are the routes of requests that crash backends.
var crashingPaths = []string{backend.PathOnce, backend.PathStream, backend.PathSafe}

// sendCrashingRequests sends requests that crash every backend that runs them, in turns of two kinds. Either
// the same content is retried under new request IDs at random routers, as clients do that don't know
// the effect of their request, or requests that are never alike have one part of their prompts in common.
func (r *run) sendCrashingRequests(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}}
	random := rand.New(rand.NewPCG(r.seed, uint64(len("enders"))))
	for number := 0; retry.Pause(ctx, crashingPause); number++ {
		cause := crashingCause{
			name: fmt.Sprintf("ends-%d", number), path: crashingPaths[number/2%len(crashingPaths)],
			isPart: (uint64(number)+r.seed)%2 == 0, first: random.IntN(2) == 0,
		}
		until := r.elapsed() + crashingDuration
		for try := 0; r.elapsed() < until && retry.Pause(ctx, time.Duration(random.Int64N(int64(crashingRetryPause)))); try++ {
			r.sendCrashingRequest(ctx, client, r.site.randomRouter(random), cause, try)
		}
	}
}

// crashingCause is what crashes backends: a content, or a part of prompts.
type crashingCause struct {
	name, path string
	// isPart is set for a part, and first if it stands first in its prompts.
	isPart, first bool
}

// request returns the path, the body and the parts of the prompt of one request.
func (c crashingCause) request(id string) (path, body string, parts []string) {
	switch {
	case !c.isPart:
		return c.path + c.name, c.name, nil
	case c.first:
		return c.path + id, id, []string{c.name, subject(id), id}
	}
	return c.path + id, id, []string{sharedPart, c.name, subject(id), id}
}

// sendCrashingRequest sends one request. The response isn't checked: the backends record
// the crashes.
func (r *run) sendCrashingRequest(ctx context.Context, client *http.Client, at *member, cause crashingCause, try int) {
	callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	id := fmt.Sprintf("%s-%d", cause.name, try)
	path, body, parts := cause.request(id)
	request, err := newRequest(callCtx, at, path, id, body, callerTimeout)
	if err != nil {
		return
	}
	request.Header.Set(backend.HeaderCrash, cause.name)
	if parts != nil {
		request.Header.Set(router.HeaderPromptParts, strings.Join(parts, ","))
	}
	response, err := client.Do(request)
	if err != nil {
		r.witness.Count("requests that end back ends: no answer")
		return
	}
	defer response.Body.Close()
	r.witness.Count(fmt.Sprintf("requests that end back ends: status %d", response.StatusCode))
}

const (
	// sharedPart is a part of all prompts of sound requests, and of some that crash backends.
	sharedPart = "shared"
	// subjects is the number of parts that some of them share.
	subjects = 8
)

// subject returns the part that the request shares with some others.
func subject(id string) string {
	return fmt.Sprintf("subject-%d", xxhash.Sum64String(id)%subjects)
}
