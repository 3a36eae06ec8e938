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
	// enderFor is how long a content that ends back ends comes again, and enderRest the
	// pause until the next one.
	enderFor  = 12 * time.Second
	enderRest = 2 * time.Second
	// enderPause is the longest time between two of its tries.
	enderPause = 900 * time.Millisecond
)

// enderPaths are the routes of requests that end back ends.
var enderPaths = []string{backend.PathOnce, backend.PathStream, backend.PathSafe}

// endBackEnds sends requests that end each back end that runs them: one content after the
// other, each under new identifiers and at routers drawn by lot, as clients come again that do
// not know what their request does.
func (r *run) endBackEnds(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}}
	random := rand.New(rand.NewPCG(r.seed, uint64(len("enders"))))
	for number := 0; retry.Pause(ctx, enderRest); number++ {
		content := fmt.Sprintf("ends-%d", number)
		path := enderPaths[number%len(enderPaths)]
		until := r.since() + enderFor
		for try := 0; r.since() < until && retry.Pause(ctx, time.Duration(random.Int64N(int64(enderPause)))); try++ {
			at := r.site.someRouter(random)
			r.sendEnder(ctx, client, at, path, content, fmt.Sprintf("%s-%d", content, try))
		}
	}
}

// sendEnder sends one try. Its answer shows nothing: the back ends tell what it does.
func (r *run) sendEnder(ctx context.Context, client *http.Client, at *member, path, content, id string) {
	calling, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := newRequest(calling, at, path+content, id, content, patience)
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
