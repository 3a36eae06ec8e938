package load

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of request of a trace record.
type Kind string

const (
	// KindOnline is an online completion request.
	KindOnline Kind = "online"
	// KindService is a call of a plain HTTP service.
	KindService Kind = "service"
	// KindJob is a batch job of Items items, each like an online request.
	KindJob Kind = "job"
)

// Record is one line of a trace.
type Record struct {
	// AtMs is the intended start in milliseconds, relative to the start of the trace.
	AtMs int64 `json:"at_ms"`
	// Model is the model or, for KindService, the service.
	Tenant string `json:"tenant"`
	Model  string `json:"model"`
	Kind   Kind   `json:"kind"`
	// PromptTokens is the length of the whole prompt.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// SharedPrefix identifies a shared prefix; zero means none.
	SharedPrefix uint64 `json:"shared_prefix,omitempty"`
	// SharedPrefixTokens is the length of the shared prefix.
	SharedPrefixTokens int `json:"shared_prefix_tokens,omitempty"`
	MaxTokens          int `json:"max_tokens,omitempty"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
	// Items is the number of items of a job.
	Items int `json:"items,omitempty"`
}

// At returns the intended start, relative to the start of the trace.
func (r Record) At() time.Duration {
	return time.Duration(r.AtMs) * time.Millisecond
}

// WriteTrace writes records as JSON lines.
func WriteTrace(writer io.Writer, records []Record) error {
	buffered := bufio.NewWriter(writer)
	encoder := json.NewEncoder(buffered)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return errors.Wrap(err, "write the trace")
		}
	}
	return errors.Wrap(buffered.Flush(), "write the trace")
}

// ReadTrace reads records from JSON lines, which must be sorted by time.
func ReadTrace(reader io.Reader) ([]Record, error) {
	decoder := json.NewDecoder(bufio.NewReader(reader))
	decoder.DisallowUnknownFields()
	var records []Record
	for {
		var record Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "record %d of the trace", len(records)+1)
		}
		if count := len(records); count > 0 && record.AtMs < records[count-1].AtMs {
			return nil, errors.Newf("record %d of the trace starts before the previous one; sort the file by at_ms", count+1)
		}
		records = append(records, record)
	}
}
