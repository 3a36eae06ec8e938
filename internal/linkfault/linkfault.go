// Package linkfault cuts the links of one process to others, in silence, for
// experiments with real processes: a call over a cut link is not sent and gets
// no answer until its own deadline. A daemon uses it only under a flag that is
// meant for experiments.
package linkfault

import (
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Path is where the handler is mounted.
const Path = "/fault-injection/blocked-links"

// Links are the cut links of a process. The zero value cuts none; it is safe for
// concurrent use.
type Links struct {
	mutex sync.RWMutex
	cut   map[string]bool
}

// Block drops all calls to an address from now on.
func (l *Links) Block(address string) { l.set(address, true) }

// Unblock lets calls to an address pass again.
func (l *Links) Unblock(address string) { l.set(address, false) }

func (l *Links) set(address string, cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cut == nil {
		l.cut = map[string]bool{}
	}
	l.cut[address] = cut
}

func (l *Links) isCut(address string) bool {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return l.cut[address]
}

// Transport returns a round tripper that sends calls through next unless their
// link is cut.
func (l *Links) Transport(next http.RoundTripper) http.RoundTripper {
	return &transport{links: l, next: next}
}

type transport struct {
	links *Links
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper. A call whose link is cut before or
// while it is answered fails when its context ends, as over a dead network.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	address := request.URL.Host
	if !t.links.isCut(address) {
		response, err := t.next.RoundTrip(request)
		if err != nil || !t.links.isCut(address) {
			return response, err
		}
		response.Body.Close()
	}
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// Handler cuts a link at PUT /{address} and heals it at DELETE /{address}.
func (l *Links) Handler() http.Handler {
	router := chi.NewRouter()
	router.Put("/{address}", func(writer http.ResponseWriter, request *http.Request) {
		l.Block(chi.URLParam(request, "address"))
		writer.WriteHeader(http.StatusNoContent)
	})
	router.Delete("/{address}", func(writer http.ResponseWriter, request *http.Request) {
		l.Unblock(chi.URLParam(request, "address"))
		writer.WriteHeader(http.StatusNoContent)
	})
	return router
}
