package standin

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

// weightsChunk is the size of a single write in bytes.
const weightsChunk = 64 << 10

// fetchWeights downloads weights from the weight store and discards them.
func (e *Engine) fetchWeights(ctx context.Context, id string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.options.WeightsURL+"/weights/"+url.PathEscape(id), nil)
	if err != nil {
		return errors.Wrap(err, "weights")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "weights")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the weight store answered %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Wrap(err, "weights")
}

// WeightsCommand implements `rockwind-bench weights`.
type WeightsCommand struct {
	ServerFlags
	Rate  float64 `help:"Rate in bytes a second, over all readers." default:"100e6"`
	Bytes int64   `help:"Size of every set of weights in bytes." default:"200000000"`
}

// WeightStore is a stand-in for a weight store, with a rate limit shared by all downloads.
type WeightStore struct {
	size     int64
	limiter  *rate.Limiter
	reading  atomic.Int64
	finished atomic.Int64
}

// WeightStoreStatus is the response body of GET /status.
type WeightStoreStatus struct {
	Reading  int64 `json:"reading"`
	Finished int64 `json:"finished"`
}

// NewWeightStore returns a weight store that serves size bytes for every ID and
// bytesPerSecond over all downloads.
func NewWeightStore(size int64, bytesPerSecond float64) *WeightStore {
	return &WeightStore{size: size, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightsChunk)}
}

// Handler returns the HTTP handler of the weight store.
func (w *WeightStore) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	router.Get("/status", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, WeightStoreStatus{Reading: w.reading.Load(), Finished: w.finished.Load()})
	})
	router.Get("/weights/{id}", w.serve)
	return router
}

func (w *WeightStore) serve(writer http.ResponseWriter, request *http.Request) {
	w.reading.Add(1)
	defer w.reading.Add(-1)
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.Header().Set("Content-Length", strconv.FormatInt(w.size, 10))
	chunk := make([]byte, weightsChunk)
	for left := w.size; left > 0; {
		part := min(left, weightsChunk)
		if err := w.limiter.WaitN(request.Context(), int(part)); err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := writer.Write(chunk[:part]); err != nil {
			panic(http.ErrAbortHandler)
		}
		left -= part
	}
	w.finished.Add(1)
}

// Run serves the weight store until the process receives a signal.
func (c *WeightsCommand) Run() error {
	return c.serve(NewWeightStore(c.Bytes, c.Rate).Handler())
}
