package standin

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// journalLimit is the maximum number of journal entries in memory.
const journalLimit = 2_000_000

// JournalEntry records a request that a stand-in accepted.
type JournalEntry struct {
	Sequence uint64 `json:"sequence"`
	// ID is the request ID, Key the idempotency key.
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"`
	Path     string `json:"path,omitempty"`
	Model    string `json:"model,omitempty"`
	Priority int    `json:"priority"`
	AtMs     int64  `json:"at_ms"`
}

// JournalPage is the body of GET /journal.
type JournalPage struct {
	Next    uint64         `json:"next"`
	Entries []JournalEntry `json:"entries"`
}

// journal records accepted requests for experiments that count executions. With a
// file, it survives a crash of the process, but not of the machine.
type journal struct {
	lock    sync.Mutex
	entries []JournalEntry
	next    uint64
	file    *os.File
}

func newJournal(path string) (*journal, error) {
	result := &journal{next: 1}
	if path == "" {
		return result, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the journal file")
	}
	result.file = file
	return result, nil
}

// add appends an entry, before its request is answered.
func (j *journal) add(entry JournalEntry) {
	entry.AtMs = time.Now().UnixMilli()
	j.lock.Lock()
	defer j.lock.Unlock()
	entry.Sequence = j.next
	j.next++
	if len(j.entries) < journalLimit {
		j.entries = append(j.entries, entry)
	}
	if j.file == nil {
		return
	}
	if line, err := json.Marshal(entry); err == nil {
		_, _ = j.file.Write(append(line, '\n'))
	}
}

func (j *journal) page(since uint64) JournalPage {
	j.lock.Lock()
	defer j.lock.Unlock()
	first := min(max(since, 1)-1, uint64(len(j.entries)))
	return JournalPage{Next: j.next, Entries: j.entries[first:len(j.entries):len(j.entries)]}
}

// serve handles GET /journal?since=N and returns the entries from number N.
func (j *journal) serve(writer http.ResponseWriter, request *http.Request) {
	since, _ := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	writeJSON(writer, http.StatusOK, j.page(since))
}
