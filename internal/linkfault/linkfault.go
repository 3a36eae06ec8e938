// Package linkfault blocks the links from one process to others for fault-injection
// experiments with real processes: a call over a blocked link is not sent and gets no
// response until its own deadline. Daemons use it only if an experimental flag is set.
package linkfault

import (
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Path is where the handler is mounted.
const Path = "/fault-injection/blocked-links"

// Links holds the blocked links of a process. The zero value blocks none; it is safe
// for concurrent use.
type Links struct {
	mutex   sync.RWMutex
	blocked map[string]bool
}

// Block blocks all calls to an address.
func (l *Links) Block(address string) { l.set(address, true) }

// Unblock unblocks calls to an address.
func (l *Links) Unblock(address string) { l.set(address, false) }

func (l *Links) set(address string, blocked bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.blocked == nil {
		l.blocked = map[string]bool{}
	}
	l.blocked[address] = blocked
}

func (l *Links) isBlocked(address string) bool {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return l.blocked[address]
}

// Transport returns a round tripper that forwards calls to next unless their link is
// blocked.
func (l *Links) Transport(next http.RoundTripper) http.RoundTripper {
	return &transport{links: l, next: next}
}

type transport struct {
	links *Links
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper. A call whose link is blocked before or during
// the exchange fails when its context ends, as on a network that drops packets.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	address := request.URL.Host
	if !t.links.isBlocked(address) {
		response, err := t.next.RoundTrip(request)
		if err != nil || !t.links.isBlocked(address) {
			return response, err
		}
		response.Body.Close()
	}
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// Handler blocks a link at PUT /{address} and unblocks it at DELETE /{address}.
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
