package standin

import (
	"context"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/retry"
)

// ServiceOptions configures a service stand-in.
type ServiceOptions struct {
	Name, Zone string
	// Latency is the processing time of a request.
	Latency time.Duration
	// Concurrency and MaxWaiting limit the running and the waiting requests.
	Concurrency, MaxWaiting int
	// ReportLag is the delay after which a load report becomes visible.
	ReportLag   time.Duration
	JournalFile string
	Exit        func(code int)
}

// ServiceResponse is the response body of a service. It identifies the service and
// the request.
type ServiceResponse struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	ID      string `json:"id"`
	// BodyHash is the xxhash64 of the request body in hexadecimal.
	BodyHash string `json:"body_hash"`
}

// ServiceBodyHash returns the BodyHash of the response to a request body.
func ServiceBodyHash(body []byte) string {
	digest := xxhash.New()
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// ServiceLoad is the response body of GET /load of a service.
type ServiceLoad struct {
	Sequence      uint64 `json:"sequence"`
	AtMs          int64  `json:"at_ms"`
	RunningOnline int    `json:"running_online"`
	Waiting       int    `json:"waiting"`
	Draining      bool   `json:"draining"`
}

// Service is a stand-in for a plain HTTP service.
type Service struct {
	options ServiceOptions
	journal *journal
	slots   chan struct{}

	lock       sync.Mutex
	waiting    int
	running    int
	sequence   uint64
	draining   bool
	fault      engine.Fault
	faultUntil time.Time
	reports    []ServiceLoad
}

// NewService returns a service stand-in.
func NewService(options ServiceOptions) (*Service, error) {
	requestJournal, err := newJournal(options.JournalFile)
	if err != nil {
		return nil, err
	}
	return &Service{
		options: options,
		journal: requestJournal,
		slots:   make(chan struct{}, max(options.Concurrency, 1)),
	}, nil
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/fault", serveFault(s.Inject))
	router.Post("/drain", s.serveDrain)
	router.Get("/journal", s.journal.serve)
	router.Group(func(router chi.Router) {
		router.Use(failing(s.hasFault(engine.FaultHang), s.hasFault(engine.FaultDie)))
		router.Get("/healthz", s.serveHealth)
		router.Get("/readyz", s.serveReady)
		router.Get("/load", s.serveLoad)
		router.HandleFunc("/*", s.serveRequest)
	})
	return router
}

// Inject applies a fault to the service and replaces the one in effect. It supports
// every kind but FaultStall. FaultDelayFinish delays each response, FaultTruncate
// closes connections without a response. If Count is set, a fault ends after
// that many requests.
func (s *Service) Inject(body FaultRequest) {
	if body.Kind == engine.FaultDie && body.DurationMs == 0 && s.options.Exit != nil {
		s.options.Exit(deathExitCode)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fault = body.Fault()
	s.faultUntil = time.Now().Add(s.fault.Duration)
	if s.fault.Duration == 0 || s.fault.Kind == engine.FaultDelayFinish {
		s.faultUntil = time.Now().Add(24 * time.Hour)
	}
}

// currentFault returns the fault in effect. If consume is set, the call counts
// towards a fault that is limited to a number of requests.
func (s *Service) currentFault(consume bool) engine.Fault {
	s.lock.Lock()
	defer s.lock.Unlock()
	if time.Now().After(s.faultUntil) {
		s.fault = engine.Fault{Kind: engine.FaultNone}
	}
	current := s.fault
	if consume && current.Count > 0 {
		s.fault.Count--
		if s.fault.Count == 0 {
			s.fault = engine.Fault{Kind: engine.FaultNone}
		}
	}
	return current
}

// hasFault returns a function that reports whether a fault of the kind is in effect.
func (s *Service) hasFault(kind engine.FaultKind) func() bool {
	return func() bool { return s.currentFault(false).Kind == kind }
}

func (s *Service) serveDrain(writer http.ResponseWriter, request *http.Request) {
	var body DrainRequest
	if !readJSON(writer, request, &body) {
		return
	}
	s.lock.Lock()
	s.draining = body.Draining
	s.lock.Unlock()
	writeJSON(writer, http.StatusOK, body)
}

func (s *Service) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, HealthResponse{Name: s.options.Name, Zone: s.options.Zone})
}

func (s *Service) serveReady(writer http.ResponseWriter, request *http.Request) {
	s.lock.Lock()
	draining := s.draining
	s.lock.Unlock()
	if draining {
		writeError(writer, http.StatusServiceUnavailable, "draining", "the service takes no new requests")
		return
	}
	s.serveHealth(writer, request)
}

// enqueue counts a request as waiting, or returns false if it must be refused.
func (s *Service) enqueue() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.draining || s.waiting >= s.options.MaxWaiting+cap(s.slots) {
		return false
	}
	s.waiting++
	return true
}

// adjustLoad changes the counts of waiting and running requests and records a report.
func (s *Service) adjustLoad(waiting, running int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.waiting += waiting
	s.running += running
	s.report(time.Now())
}

// report records the current load for GET /load. The caller must hold the lock.
func (s *Service) report(now time.Time) {
	s.sequence++
	s.reports = append(s.reports, ServiceLoad{
		Sequence:      s.sequence,
		AtMs:          now.UnixMilli(),
		RunningOnline: s.running,
		Waiting:       s.waiting,
		Draining:      s.draining,
	})
	horizon := now.Add(-s.options.ReportLag).UnixMilli()
	for len(s.reports) > 1 && s.reports[1].AtMs <= horizon {
		s.reports = s.reports[1:]
	}
}

func (s *Service) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	now := time.Now()
	s.report(now)
	load := s.reports[0]
	s.lock.Unlock()
	load.AtMs = max(load.AtMs, now.Add(-s.options.ReportLag).UnixMilli())
	if s.currentFault(false).Kind == engine.FaultReportIdle {
		load.RunningOnline, load.Waiting = 0, 0
	}
	writeJSON(writer, http.StatusOK, load)
}

func (s *Service) serveRequest(writer http.ResponseWriter, request *http.Request) {
	fault := s.currentFault(true)
	if fault.Kind == engine.FaultRefuse || !s.enqueue() {
		writeNotRun(writer, http.StatusServiceUnavailable, "overloaded", "the service refused the request before it ran")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		s.adjustLoad(-1, 0)
		panic(http.ErrAbortHandler)
	}
	select {
	case s.slots <- struct{}{}:
	case <-request.Context().Done():
		s.adjustLoad(-1, 0)
		panic(http.ErrAbortHandler)
	}
	s.adjustLoad(-1, 1)
	defer func() {
		<-s.slots
		s.adjustLoad(0, -1)
	}()
	s.run(writer, request, body, fault)
}

// run processes a request, and continues if the client disconnects.
func (s *Service) run(writer http.ResponseWriter, request *http.Request, body []byte, fault engine.Fault) {
	id := request.Header.Get(HeaderRequestID)
	s.journal.add(JournalEntry{ID: id, Key: request.Header.Get(HeaderIdempotencyKey), Path: request.URL.Path})
	duration := s.options.Latency
	switch fault.Kind {
	case engine.FaultDelayFinish:
		duration += fault.Duration
	case engine.FaultSlow:
		duration = time.Duration(float64(duration) * max(fault.Factor, 1))
	}
	retry.Pause(context.WithoutCancel(request.Context()), duration)
	if fault.Kind == engine.FaultTruncate {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, ServiceResponse{
		Service:  s.options.Name,
		Path:     request.URL.Path,
		ID:       id,
		BodyHash: ServiceBodyHash(body),
	})
}

// ServiceCommand implements `rockwind-bench service`.
type ServiceCommand struct {
	ServerFlags
	Name        string        `help:"Name of the service instance." default:"service"`
	Zone        string        `help:"Zone of the instance."`
	Latency     time.Duration `help:"Time that a request takes." default:"5ms"`
	Concurrency int           `help:"Requests that run at once." default:"64"`
	MaxWaiting  int           `help:"Requests that may wait." default:"256"`
	ReportLag   time.Duration `help:"Age of load reports." default:"100ms"`
	JournalFile string        `help:"File that keeps the journal." type:"path"`
	Fault       []string      `help:"Fault from the start, as the JSON of POST /fault." sep:"none"`
}

// Run serves the service until the process receives a signal.
func (c *ServiceCommand) Run() error {
	service, err := NewService(ServiceOptions{
		Name:        c.Name,
		Zone:        c.Zone,
		Latency:     c.Latency,
		Concurrency: c.Concurrency,
		MaxWaiting:  c.MaxWaiting,
		ReportLag:   c.ReportLag,
		JournalFile: c.JournalFile,
		Exit:        exitProcess,
	})
	if err != nil {
		return err
	}
	if err := injectAll(c.Fault, service.Inject); err != nil {
		return err
	}
	return c.serve(service.Handler())
}
