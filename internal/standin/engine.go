package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"rockwind.example/rockwind/internal/engine"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 64 << 20

// deathExitCode is the exit status of a process terminated by FaultDie.
const deathExitCode = 3

// EngineOptions configures an engine stand-in.
type EngineOptions struct {
	Name, Zone string
	Config     engine.Config
	Seed       int64
	// EventPerToken writes one event per token, even if several tokens are
	// available at once.
	EventPerToken bool
	// WeightsURL is the URL of the weight store, "http://ip:port". If empty,
	// loading is simulated at the model's rate.
	WeightsURL string
	// JournalFile is the path of the journal; if empty, it is kept in memory only.
	JournalFile string
	// KVBytesPerToken is the size of exported KV per token.
	KVBytesPerToken int
	// Exit terminates the process for FaultDie. If nil, all connections are
	// closed instead.
	Exit func(code int)
}

// Engine serves an engine model over HTTP.
type Engine struct {
	options EngineOptions
	driver  *driver
	journal *journal
	handler http.Handler
	client  *http.Client
	// loadContext is cancelled by Close and ends downloads of weights.
	loadContext context.Context
	cancelLoads context.CancelFunc
}

// NewEngine starts an engine stand-in. The caller serves its Handler and closes it.
func NewEngine(options EngineOptions) (*Engine, error) {
	requestJournal, err := newJournal(options.JournalFile)
	if err != nil {
		return nil, err
	}
	result := &Engine{
		options: options,
		driver:  newDriver(options.Config, options.Seed),
		journal: requestJournal,
		client:  &http.Client{},
	}
	result.loadContext, result.cancelLoads = context.WithCancel(context.Background())
	result.handler = result.routes()
	return result, nil
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	return e.handler
}

// Close stops the engine and closes its journal.
func (e *Engine) Close() error {
	e.cancelLoads()
	e.driver.close()
	if e.journal.file == nil {
		return nil
	}
	return errors.Wrap(e.journal.file.Close(), "close the journal file")
}

// Inject applies a fault to the engine.
func (e *Engine) Inject(body FaultRequest) {
	if body.Kind == engine.FaultDie && body.DurationMs == 0 && e.options.Exit != nil {
		e.options.Exit(deathExitCode)
	}
	e.driver.do(func(model *engine.Engine, now time.Duration) { model.Inject(now, body.Fault()) })
}

func (e *Engine) routes() http.Handler {
	router := chi.NewRouter()
	router.Post("/fault", serveFault(e.Inject))
	router.Post("/drain", e.serveDrain)
	router.Get("/journal", e.journal.serve)
	router.Group(func(router chi.Router) {
		router.Use(failing(e.driver.hung.Load, e.driver.dead.Load))
		router.Get("/healthz", e.serveHealth)
		router.Get("/readyz", e.serveReady)
		router.Get("/load", e.serveLoad)
		router.Get("/cache_events", e.serveCacheEvents)
		router.Get("/cache_snapshot", e.serveCacheSnapshot)
		router.Post("/kv/export", e.serveExport)
		router.Post("/kv/import", e.serveImport)
		router.Post("/orders", e.serveOrder)
		router.Post("/v1/chat/completions", e.serveChat)
		router.Post("/v1/completions", e.serveCompletion)
		router.Post("/v1/requests/{id}/resume", e.serveResume)
		router.Post("/v1/requests/{id}/pause", e.servePause)
		router.Post("/v1/requests/{id}/unpause", e.serveUnpause)
		router.Delete("/v1/requests/{id}", e.serveCancel)
	})
	return router
}

func (e *Engine) serveDrain(writer http.ResponseWriter, request *http.Request) {
	var body DrainRequest
	if !readJSON(writer, request, &body) {
		return
	}
	e.driver.do(func(model *engine.Engine, now time.Duration) { model.SetDraining(now, body.Draining) })
	writeJSON(writer, http.StatusOK, body)
}

// HealthResponse is the body of GET /healthz.
type HealthResponse struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

func (e *Engine) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, HealthResponse{Name: e.options.Name, Zone: e.options.Zone})
}

func (e *Engine) serveReady(writer http.ResponseWriter, _ *http.Request) {
	draining := true
	e.driver.do(func(model *engine.Engine, _ time.Duration) { draining = model.Draining() })
	if draining {
		writeError(writer, http.StatusServiceUnavailable, "draining", "the engine takes no new requests")
		return
	}
	writeJSON(writer, http.StatusOK, HealthResponse{Name: e.options.Name, Zone: e.options.Zone})
}

// EngineCommand implements `rockwind-bench engine`.
type EngineCommand struct {
	ServerFlags
	Name            string        `help:"Name of the engine." default:"engine"`
	Zone            string        `help:"Zone of the engine."`
	Load            []string      `help:"What is loaded at the start, model@version or model:adapter; none accepts every model."`
	Role            string        `help:"Role at the start." enum:"mixed,online,batch" default:"mixed"`
	TimeScale       float64       `help:"Factor on the time of steps; 0.1 runs ten times as fast." default:"1"`
	Fast            bool          `help:"Take the profile that costs little, to measure what stands before the engine."`
	StepMs          float64       `help:"Time of an empty step in ms; zero takes the profile's."`
	TokensPerStep   int           `help:"Tokens that a step gives a sequence; zero takes the profile's."`
	MaxSequences    int           `help:"Places in a step; zero takes the profile's."`
	MaxWaiting      int           `help:"Requests that may wait; negative takes the profile's." default:"-1"`
	KVCapacity      int           `help:"Memory for KV in tokens; zero takes the profile's."`
	PrefixBlocks    int           `help:"Blocks of the prefix cache; negative takes the profile's." default:"-1"`
	Retention       time.Duration `help:"How long a request without a reader stays known." default:"10s"`
	ReportLag       time.Duration `help:"Age of load reports." default:"100ms"`
	CacheLag        time.Duration `help:"Age at which cache events are published." default:"200ms"`
	CacheLoss       float64       `help:"Probability that a cache event leaves a gap." default:"0.001"`
	EventPerToken   bool          `help:"Write an event for every token."`
	WeightsURL      string        `help:"Weight store, http://ip:port; empty loads at the model's rate."`
	WeightsRate     float64       `help:"Rate of loading in bytes a second; zero takes the profile's."`
	JournalFile     string        `help:"File that keeps the journal." type:"path"`
	KVBytesPerToken int           `help:"Size of exported KV in bytes a token." default:"16"`
	Seed            int64         `help:"Seed of the engine's randomness." default:"1"`
	Fault           []string      `help:"Fault from the start, as the JSON of POST /fault." sep:"none"`
}

// config returns the engine parameters set by the flags.
func (c *EngineCommand) config() engine.Config {
	config := engine.DefaultConfig()
	if c.Fast {
		config = engine.FastConfig()
	}
	if c.StepMs > 0 {
		config.BaseStep = time.Duration(c.StepMs * float64(time.Millisecond))
	}
	override(&config.TokensPerStep, c.TokensPerStep, 1)
	override(&config.MaxSequences, c.MaxSequences, 1)
	override(&config.MaxWaiting, c.MaxWaiting, 0)
	override(&config.KVCapacity, c.KVCapacity, 1)
	override(&config.PrefixBlocks, c.PrefixBlocks, 0)
	if c.WeightsRate > 0 {
		config.WeightsRate = c.WeightsRate
	}
	config.Retention = c.Retention
	config.ReportLag = c.ReportLag
	config.CacheEventLag = c.CacheLag
	config.CacheEventLoss = c.CacheLoss
	config.Loaded = c.Load
	config.Role = engine.Role(c.Role)
	return config.Scale(c.TimeScale)
}

// override sets a value from a flag, unless the flag is below its minimum and so unset.
func override(value *int, flag, least int) {
	if flag >= least {
		*value = flag
	}
}

// Run serves the engine until the process receives a signal.
func (c *EngineCommand) Run() error {
	server, err := NewEngine(EngineOptions{
		Name:            c.Name,
		Zone:            c.Zone,
		Config:          c.config(),
		Seed:            c.Seed,
		EventPerToken:   c.EventPerToken,
		WeightsURL:      c.WeightsURL,
		JournalFile:     c.JournalFile,
		KVBytesPerToken: c.KVBytesPerToken,
		Exit:            exitProcess,
	})
	if err != nil {
		return err
	}
	if err := injectAll(c.Fault, server.Inject); err != nil {
		return err
	}
	serveError := c.serve(server.Handler())
	return errors.CombineErrors(serveError, server.Close())
}
