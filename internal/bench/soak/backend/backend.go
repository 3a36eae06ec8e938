// Package backend is the stand-in for the servers of a soak: it runs requests,
// tells the witness of each, and misbehaves now and then as real servers do.
package backend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/upstream"
)

// Paths of the routes. The last part of a path names the request.
const (
	PathSafe      = "/safe/"
	PathOnce      = "/once/"
	PathStream    = "/stream/"
	PathResumable = "/resumable/"
	PathBatch     = "/batch/"
	PathLarge     = "/large/"
	// PathTenant is the one route that needs the key of a tenant.
	PathTenant = "/tenant/"
)

// PathHealth is where a back end tells which incarnation it is.
const PathHealth = "/health"

// HeaderJob names the job of an item, HeaderPoison marks one that can never be done, and
// HeaderCrash names the content of a request that ends the back end.
const (
	HeaderJob    = "X-Soak-Job"
	HeaderPoison = "X-Soak-Poison"
	HeaderCrash   = "X-Soak-Ends"
)

const (
	// Events is how many events a stream has.
	Events = 12
	// LastData is the data of the last one.
	LastData = "end"
	// eventGap is the time between two.
	eventGap = 8 * time.Millisecond
	// workTime is how long a plain request takes.
	workTime = 10 * time.Millisecond
	// LargeBytes is the size of an answer on PathLarge: more than a caller's connection
	// holds.
	LargeBytes = 12 << 20
	// Parts of the requests that are refused as not run, and whose answer is cut.
	refusedPart = 0.02
	cutPart     = 0.01
)

// Answer is the body of a plain answer to a request.
func Answer(id string) string { return "answer to " + id }

// LargeAnswer is the body of a large answer to a request.
func LargeAnswer(id string) string {
	line := Answer(id) + "\n"
	return strings.Repeat(line, LargeBytes/len(line))
}

// EventData is the data of one event of the stream that answers a request.
func EventData(id string, event int) string {
	if event == Events {
		return id + " " + LastData
	}
	return fmt.Sprintf("%s %d", id, event)
}

// StreamText is all data of a stream in order, as a batch result shows it.
func StreamText(id string) string {
	lines := make([]string, 0, Events)
	for event := 1; event <= Events; event++ {
		lines = append(lines, EventData(id, event))
	}
	return strings.Join(lines, "\n")
}

// Server is one incarnation of a back end.
type Server struct {
	id       string
	witness  *witness.Witness
	since    func() time.Duration
	listener net.Listener
	server   *http.Server

	mutex  sync.Mutex
	random *rand.Rand
	// forbidden is since when no new request may come; zero while any may.
	forbidden time.Duration
	// lastRequest is when a request last came.
	lastRequest time.Duration
	// end takes the content of a request that ends the back end.
	end func(content string)
}

// Start starts an incarnation on an address. The function takes the content of a request that
// ends it.
func Start(id, address string, seen *witness.Witness, since func() time.Duration, seed uint64, end func(content string)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{id: id, witness: seen, since: since, listener: listener, random: rand.New(rand.NewPCG(seed, 0)), end: end}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// ID names the incarnation.
func (s *Server) ID() string { return s.id }

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Kill ends the server and breaks off what it has in hand.
func (s *Server) Kill() { _ = s.server.Close() }

// ForbidRequests makes each new request a breach from now on.
func (s *Server) ForbidRequests() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forbidden = s.since()
}

// LastRequest is when a request for this incarnation last came; zero before the first.
func (s *Server) LastRequest() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastRequest
}

func (s *Server) noteRequest() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastRequest = s.since()
}

func (s *Server) chance(part float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < part
}

func (s *Server) checkForbidden(id string) {
	s.mutex.Lock()
	since := s.forbidden
	s.mutex.Unlock()
	if since > 0 {
		s.witness.Report(witness.DrainedServerUsed, id, "server "+s.id+" got it "+(s.since()-since).String()+" after its time", s.since())
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(upstream.HeaderRequestID)
	writer.Header().Set(upstream.HeaderRequestID, id)
	writer.Header().Set(router.HeaderServer, s.id)
	if request.Header.Get(router.HeaderServer) != s.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == PathHealth {
		return
	}
	s.noteRequest()
	s.checkForbidden(id)
	if s.chance(refusedPart) {
		writer.Header().Set(upstream.HeaderNotRun, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if job := request.Header.Get(HeaderJob); job != "" {
		s.witness.ItemRan(job, id, s.id, s.since())
	} else if strings.HasPrefix(request.URL.Path, PathTenant) {
		s.ranForTenant(id, request.Header)
	} else {
		s.witness.Ran(id, s.id, s.since())
	}
	if content := request.Header.Get(HeaderCrash); content != "" {
		s.end(content)
		panic(http.ErrAbortHandler)
	}
	if request.Header.Get(HeaderPoison) != "" {
		writer.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	if strings.HasPrefix(request.URL.Path, PathLarge) {
		body := LargeAnswer(id)
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write([]byte(body))
		return
	}
	cut := s.chance(cutPart)
	if hasAnyPrefix(request.URL.Path, PathSafe, PathOnce, PathTenant) {
		s.plain(request.Context(), writer, id, cut)
		return
	}
	s.stream(request, writer, id, cut)
}

// ranForTenant tells the witness for whom a request runs. The client's key is none of a back
// end's business.
func (s *Server) ranForTenant(id string, header http.Header) {
	s.witness.RanForTenant(header.Get(router.HeaderTenant), id, s.id, s.since())
	if header.Get("Authorization") != "" {
		s.witness.Report(witness.WrongTenant, id, "server "+s.id+" was told a key", s.since())
	}
}

func hasAnyPrefix(path string, prefixes ...string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

func (s *Server) plain(ctx context.Context, writer http.ResponseWriter, id string, cut bool) {
	select {
	case <-ctx.Done():
	case <-time.After(workTime):
	}
	body := Answer(id)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut {
		_, _ = writer.Write([]byte(body[:len(body)/2]))
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write([]byte(body))
}

// stream sends the events after the one that the request names.
func (s *Server) stream(request *http.Request, writer http.ResponseWriter, id string, cut bool) {
	after, _ := strconv.Atoi(request.Header.Get(router.HeaderLastEvent))
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	for event := after + 1; event <= Events; event++ {
		piece := fmt.Sprintf("id: %d\ndata: %s\n\n", event, EventData(id, event))
		if cut && event == after+Events/2 {
			_, _ = writer.Write([]byte(piece[:len(piece)/2]))
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := writer.Write([]byte(piece)); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}
