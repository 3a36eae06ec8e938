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

// ServiceOptions say what a service stand-in is like.
type ServiceOptions struct {
	Name, Zone string
	// Latency is the time that a request takes.
	Latency time.Duration
	// Concurrency is how many requests run at once; MaxWaiting how many wait.
	Concurrency, MaxWaiting int
	// ReportLag is the age of load reports.
	ReportLag   time.Duration
	JournalFile string
	Exit        func(code int)
}

// ServiceResponse is the body of a service's answer: it proves whose it is.
type ServiceResponse struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	ID      string `json:"id"`
	// BodyHash is the xxhash64 of the request's body in hexadecimal.
	BodyHash string `json:"body_hash"`
}

// ServiceBodyHash returns the hash that the answer to a body carries.
func ServiceBodyHash(body []byte) string {
	digest := xxhash.New()
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// ServiceLoad is the body of a service's GET /load.
type ServiceLoad struct {
	Sequence      uint64 `json:"sequence"`
	AtMs          int64  `json:"at_ms"`
	RunningOnline int    `json:"running_online"`
	Waiting       int    `json:"waiting"`
	Draining      bool   `json:"draining"`
}

// Service is a plain HTTP service.
type Service struct {
	options ServiceOptions
	journal *journal
	places  chan struct{}

	lock     sync.Mutex
	waiting  int
	running  int
	sequence uint64
	draining bool
	fault    engine.Fault
	until    time.Time
	reports  []ServiceLoad
}

// NewService returns a service stand-in.
func NewService(options ServiceOptions) (*Service, error) {
	notes, err := newJournal(options.JournalFile)
	if err != nil {
		return nil, err
	}
	return &Service{
		options: options,
		journal: notes,
		places:  make(chan struct{}, max(options.Concurrency, 1)),
	}, nil
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/fault", serveFault(s.Inject))
	router.Post("/drain", s.serveDrain)
	router.Get("/journal", s.journal.serve)
	router.Group(func(router chi.Router) {
		router.Use(failing(s.failsBy(engine.FaultHang), s.failsBy(engine.FaultDie)))
		router.Get("/healthz", s.serveHealth)
		router.Get("/readyz", s.serveReady)
		router.Get("/load", s.serveLoad)
		router.HandleFunc("/*", s.serveAny)
	})
	return router
}

// Inject makes the service fail as the order says: die, hang, refuse and late
// (each answer by the duration, for Count answers when it is set) are known.
func (s *Service) Inject(order FaultRequest) {
	if order.Kind == engine.FaultDie && order.DurationMs == 0 && s.options.Exit != nil {
		s.options.Exit(deathExitCode)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fault = order.Fault()
	s.until = time.Now().Add(s.fault.Duration)
	if s.fault.Duration == 0 || s.fault.Kind == engine.FaultDelayFinish {
		s.until = time.Now().Add(24 * time.Hour)
	}
}

// failure returns the fault in force; counted faults are used up by real
// requests only.
func (s *Service) failure(use bool) engine.Fault {
	s.lock.Lock()
	defer s.lock.Unlock()
	if time.Now().After(s.until) {
		s.fault = engine.Fault{Kind: engine.FaultNone}
	}
	current := s.fault
	if use && current.Count > 0 {
		s.fault.Count--
		if s.fault.Count == 0 {
			s.fault = engine.Fault{Kind: engine.FaultNone}
		}
	}
	return current
}

// failsBy tells whether the fault in force is of a kind.
func (s *Service) failsBy(kind engine.FaultKind) func() bool {
	return func() bool { return s.failure(false).Kind == kind }
}

func (s *Service) serveDrain(writer http.ResponseWriter, request *http.Request) {
	var order DrainRequest
	if !readJSON(writer, request, &order) {
		return
	}
	s.lock.Lock()
	s.draining = order.Draining
	s.lock.Unlock()
	writeJSON(writer, http.StatusOK, order)
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

// enter takes a request in and tells whether it may run.
func (s *Service) enter() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.draining || s.waiting >= s.options.MaxWaiting+cap(s.places) {
		return false
	}
	s.waiting++
	return true
}

// move changes the counts of waiting and running requests and reports them.
func (s *Service) move(waiting, running int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.waiting += waiting
	s.running += running
	s.report(time.Now())
}

// report notes the load for readers of GET /load. The caller holds the lock.
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
	if s.failure(false).Kind == engine.FaultReportIdle {
		load.RunningOnline, load.Waiting = 0, 0
	}
	writeJSON(writer, http.StatusOK, load)
}

func (s *Service) serveAny(writer http.ResponseWriter, request *http.Request) {
	failure := s.failure(true)
	if failure.Kind == engine.FaultRefuse || !s.enter() {
		writeNotRun(writer, http.StatusServiceUnavailable, "overloaded", "the service refused the request before it ran")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		s.move(-1, 0)
		panic(http.ErrAbortHandler)
	}
	select {
	case s.places <- struct{}{}:
	case <-request.Context().Done():
		s.move(-1, 0)
		panic(http.ErrAbortHandler)
	}
	s.move(-1, 1)
	defer func() {
		<-s.places
		s.move(0, -1)
	}()
	s.run(writer, request, body, failure)
}

// run does the work of a request. The work goes on when the caller leaves.
func (s *Service) run(writer http.ResponseWriter, request *http.Request, body []byte, failure engine.Fault) {
	id := request.Header.Get(HeaderRequestID)
	s.journal.add(JournalEntry{ID: id, Key: request.Header.Get(HeaderIdempotencyKey), Path: request.URL.Path})
	duration := s.options.Latency
	switch failure.Kind {
	case engine.FaultDelayFinish:
		duration += failure.Duration
	case engine.FaultSlow:
		duration = time.Duration(float64(duration) * max(failure.Factor, 1))
	}
	retry.Pause(context.WithoutCancel(request.Context()), duration)
	if failure.Kind == engine.FaultTruncate {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, ServiceResponse{
		Service:  s.options.Name,
		Path:     request.URL.Path,
		ID:       id,
		BodyHash: ServiceBodyHash(body),
	})
}

// ServiceCommand is `rockwind-bench service`.
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

// Run serves the service until a signal ends it.
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
