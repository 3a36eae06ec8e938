// Package logring keeps the last log entries of a daemon in memory and writes them out on an entry
// of level error, on request, and on SIGUSR1. In normal operation a daemon writes next to nothing.
package logring

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

// DefaultCapacity is the default number of entries in a ring.
const DefaultCapacity = 4096

// Ring is an apex/log handler that keeps the last entries. It is safe for concurrent use.
type Ring struct {
	mutex     sync.Mutex
	entries   []record
	nextIndex int
	full      bool
	output    io.Writer
	lastDump  time.Time
}

// minDumpInterval keeps a burst of errors from dumping the ring repeatedly.
const minDumpInterval = 10 * time.Second

type record struct {
	Time    time.Time  `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
}

// New returns a ring of the given capacity that dumps to output.
func New(capacity int, output io.Writer) *Ring {
	return &Ring{entries: make([]record, capacity), output: output}
}

// HandleLog implements log.Handler. An entry of level error or higher dumps the ring, at most once
// in minDumpInterval; within the interval only the entry itself is written.
func (r *Ring) HandleLog(entry *log.Entry) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current := record{Time: entry.Timestamp, Level: entry.Level.String(), Message: entry.Message, Fields: entry.Fields}
	r.entries[r.nextIndex] = current
	r.nextIndex++
	if r.nextIndex == len(r.entries) {
		r.nextIndex = 0
		r.full = true
	}
	if entry.Level < log.ErrorLevel {
		return nil
	}
	if entry.Timestamp.Sub(r.lastDump) < minDumpInterval {
		return json.NewEncoder(r.output).Encode(current)
	}
	r.lastDump = entry.Timestamp
	return r.dumpLocked(r.output)
}

// Dump writes all entries, oldest first, one JSON object per line.
func (r *Ring) Dump(output io.Writer) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dumpLocked(output)
}

// Lines returns the last limit entries as JSON, oldest first; zero returns all.
func (r *Ring) Lines(limit int) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ordered := r.orderedLocked()
	if limit > 0 && len(ordered) > limit {
		ordered = ordered[len(ordered)-limit:]
	}
	lines := make([]string, 0, len(ordered))
	for _, entry := range ordered {
		encoded, err := json.Marshal(entry)
		if err != nil {
			continue
		}
		lines = append(lines, string(encoded))
	}
	return lines
}

func (r *Ring) orderedLocked() []record {
	if !r.full {
		return append([]record(nil), r.entries[:r.nextIndex]...)
	}
	ordered := append([]record(nil), r.entries[r.nextIndex:]...)
	return append(ordered, r.entries[:r.nextIndex]...)
}

func (r *Ring) dumpLocked(output io.Writer) error {
	encoder := json.NewEncoder(output)
	for _, entry := range r.orderedLocked() {
		if err := encoder.Encode(entry); err != nil {
			return err
		}
	}
	return nil
}
