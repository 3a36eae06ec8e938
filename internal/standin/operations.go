package standin

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/retry"
)

// pollInterval is the interval at which waiting handlers check their condition.
const pollInterval = 20 * time.Millisecond

// exitProcess terminates the process without cleanup, like a crash.
func exitProcess(code int) {
	os.Exit(code)
}

func (e *Engine) serveResume(writer http.ResponseWriter, request *http.Request) {
	var body ResumeRequest
	if !readJSON(writer, request, &body) {
		return
	}
	id := chi.URLParam(request, "id")
	reader, resumed, status := e.driver.resume(id, body.Offset)
	switch status {
	case engine.ResumeUnknown:
		writeError(writer, http.StatusNotFound, "unknown_request", "the engine does not know the request")
	case engine.ResumeHasReader:
		writeError(writer, http.StatusConflict, "has_reader", "the request still has a reader")
	case engine.ResumeBadOffset:
		writeError(writer, http.StatusBadRequest, "bad_offset", "the offset lies beyond what was produced")
	default:
		e.respond(writer, request, resumed.Payload.(*completion), reader, resumed.First-1)
	}
}

func (e *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	id := chi.URLParam(request, "id")
	cancelled := false
	e.driver.do(func(model *engine.Engine, now time.Duration) { cancelled = model.Cancel(now, id) })
	writeFound(writer, cancelled)
}

func (e *Engine) servePause(writer http.ResponseWriter, request *http.Request) {
	id := chi.URLParam(request, "id")
	paused := false
	e.driver.do(func(model *engine.Engine, now time.Duration) { paused = model.Pause(now, id) })
	writeFound(writer, paused)
}

func (e *Engine) serveUnpause(writer http.ResponseWriter, request *http.Request) {
	id := chi.URLParam(request, "id")
	unpaused := false
	e.driver.do(func(model *engine.Engine, now time.Duration) { unpaused = model.Unpause(now, id) })
	writeFound(writer, unpaused)
}

func writeFound(writer http.ResponseWriter, found bool) {
	if !found {
		writeError(writer, http.StatusNotFound, "unknown_request", "no such request in progress")
		return
	}
	writeJSON(writer, http.StatusOK, CancelResponse{Cancelled: true})
}

func (e *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	var report engine.Report
	var now time.Duration
	e.driver.do(func(model *engine.Engine, at time.Duration) { report, now = model.Load(at), at })
	writeJSON(writer, http.StatusOK, LoadReport{
		Sequence:       report.Sequence,
		AtMs:           time.Now().Add(report.At - now).UnixMilli(),
		RunningOnline:  report.RunningOnline,
		RunningBatch:   report.RunningBatch,
		Waiting:        report.Waiting,
		KVUsedPermille: report.KVUsedPermille,
		StepUs:         report.Step.Microseconds(),
		Loaded:         report.Loaded,
		Role:           string(report.Role),
		Draining:       report.Draining,
	})
}

// maxCacheWait is the maximum duration of a long poll for cache events.
const maxCacheWait = 30 * time.Second

func (e *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.Now().Add(min(time.Duration(waitMs)*time.Millisecond, maxCacheWait))
	for {
		var page engine.CachePage
		e.driver.do(func(model *engine.Engine, now time.Duration) { page = model.CacheEvents(now, since) })
		missing := page.First > since || page.Next < since
		if len(page.Events) > 0 || missing || !time.Now().Before(deadline) {
			writeJSON(writer, http.StatusOK, cacheEvents(page))
			return
		}
		if !retry.Pause(request.Context(), pollInterval) {
			return
		}
	}
}

func cacheEvents(page engine.CachePage) CacheEvents {
	result := CacheEvents{Epoch: page.Epoch, First: page.First, Next: page.Next, Events: []CacheEvent{}}
	for _, event := range page.Events {
		result.Events = append(result.Events, CacheEvent{
			Sequence: event.Sequence,
			Kind:     string(event.Kind),
			Block:    formatBlock(event.Block),
		})
	}
	return result
}

func (e *Engine) serveCacheSnapshot(writer http.ResponseWriter, _ *http.Request) {
	var snapshot engine.CacheSnapshot
	e.driver.do(func(model *engine.Engine, _ time.Duration) { snapshot = model.Snapshot() })
	result := CacheSnapshot{Epoch: snapshot.Epoch, Next: snapshot.Next, Blocks: []string{}}
	for _, block := range snapshot.Blocks {
		result.Blocks = append(result.Blocks, formatBlock(block))
	}
	writeJSON(writer, http.StatusOK, result)
}

// ExportRequest is the body of POST /kv/export.
type ExportRequest struct {
	Block string `json:"block"`
}

func (e *Engine) serveExport(writer http.ResponseWriter, request *http.Request) {
	var body ExportRequest
	if !readJSON(writer, request, &body) {
		return
	}
	block, err := parseBlock(body.Block)
	if err != nil {
		writeError(writer, http.StatusBadRequest, "bad_block", "the block is not a hexadecimal hash")
		return
	}
	var data []byte
	found := false
	e.driver.do(func(model *engine.Engine, _ time.Duration) {
		data, found = model.ExportKV(block, e.options.KVBytesPerToken)
	})
	if !found {
		writeError(writer, http.StatusNotFound, "unknown_block", "the chain is not in the cache")
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = writer.Write(data)
}

// ImportResponse is the response body of POST /kv/import.
type ImportResponse struct {
	// Blocks is the number of leading blocks of the chain that are cached.
	Blocks int `json:"blocks"`
}

func (e *Engine) serveImport(writer http.ResponseWriter, request *http.Request) {
	block, err := parseBlock(request.Header.Get(HeaderBlock))
	if err != nil {
		writeError(writer, http.StatusBadRequest, "bad_block", "the block is not a hexadecimal hash")
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		writeError(writer, http.StatusBadRequest, "bad_body", err.Error())
		return
	}
	stored, whole := 0, false
	e.driver.do(func(model *engine.Engine, now time.Duration) { stored, whole = model.ImportKV(now, block, data) })
	if !whole {
		writeError(writer, http.StatusBadRequest, "bad_body", "the KV is not that of the block")
		return
	}
	writeJSON(writer, http.StatusOK, ImportResponse{Blocks: stored})
}

func (e *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order engine.Order
	if !readJSON(writer, request, &order) {
		return
	}
	order.External = e.options.WeightsURL != "" && order.WeightsID != ""
	var fence uint64
	status := engine.OrderInvalid
	e.driver.do(func(model *engine.Engine, now time.Duration) { fence, status = model.Order(now, order) })
	switch status {
	case engine.OrderInvalid:
		writeError(writer, http.StatusBadRequest, "bad_order", "the order's action or names are wrong")
	case engine.OrderStale:
		writeJSON(writer, http.StatusConflict, FenceResponse{Fence: fence})
	case engine.OrderLoading:
		if order.External {
			go e.download(order)
		}
		writeJSON(writer, http.StatusAccepted, FenceResponse{Fence: fence})
	default:
		writeJSON(writer, http.StatusOK, FenceResponse{Fence: fence})
	}
}

// download fetches weights from the weight store and completes the load.
func (e *Engine) download(order engine.Order) {
	arrived := e.fetchWeights(e.loadContext, order.WeightsID) == nil
	e.driver.do(func(model *engine.Engine, now time.Duration) { model.CompleteLoad(now, order.Fence, arrived) })
}
