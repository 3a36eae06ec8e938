package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/retry"
)

const (
	// A content that crashes backends is sent again for crashingDuration; the next one
	// follows after crashingPause.
	crashingDuration = 12 * time.Second
	crashingPause    = 2 * time.Second
	// crashingRetryPause is the maximum time between two requests with the same content.
	crashingRetryPause = 900 * time.Millisecond
)

// crashingPaths are the routes of requests that crash backends.
var crashingPaths = []string{backend.PathOnce, backend.PathStream, backend.PathSafe}

// sendCrashingRequests sends requests that crash every backend that runs them. Each content
// is retried under new request IDs at random routers, as clients do that don't know the
// effect of their request.
func (r *run) sendCrashingRequests(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}}
	random := rand.New(rand.NewPCG(r.seed, uint64(len("enders"))))
	for number := 0; retry.Pause(ctx, crashingPause); number++ {
		content := fmt.Sprintf("ends-%d", number)
		path := crashingPaths[number%len(crashingPaths)]
		until := r.elapsed() + crashingDuration
		for try := 0; r.elapsed() < until && retry.Pause(ctx, time.Duration(random.Int64N(int64(crashingRetryPause)))); try++ {
			at := r.site.randomRouter(random)
			r.sendCrashingRequest(ctx, client, at, path, content, fmt.Sprintf("%s-%d", content, try))
		}
	}
}

// sendCrashingRequest sends one request. The response isn't checked: the backends record
// the crashes.
func (r *run) sendCrashingRequest(ctx context.Context, client *http.Client, at *member, path, content, id string) {
	callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := newRequest(callCtx, at, path+content, id, content, callerTimeout)
	if err != nil {
		return
	}
	request.Header.Set(backend.HeaderCrash, content)
	response, err := client.Do(request)
	if err != nil {
		r.witness.Count("requests that end back ends: no answer")
		return
	}
	defer response.Body.Close()
	r.witness.Count(fmt.Sprintf("requests that end back ends: status %d", response.StatusCode))
}
