package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
)

// printer writes the output of a command as text or JSON.
type printer struct {
	output io.Writer
	json   bool
}

// table is a list printed as text.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

const columnGap = 2

// write prints the table with aligned columns.
func (t *table) write(output io.Writer) error {
	writer := tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(writer, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// print writes the value as JSON, or the table as text.
func (p *printer) print(value any, listing *table) error {
	if p.json {
		return p.encode(value)
	}
	return listing.write(p.output)
}

// line writes the value as JSON, or one line of text.
func (p *printer) line(value any, format string, arguments ...any) error {
	if p.json {
		return p.encode(value)
	}
	_, err := fmt.Fprintf(p.output, format+"\n", arguments...)
	return err
}

func (p *printer) encode(value any) error {
	if message, ok := value.(proto.Message); ok {
		value = messageJSON{message}
	}
	encoder := json.NewEncoder(p.output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// messageJSON encodes a protobuf message with its proto field names.
type messageJSON struct {
	message proto.Message
}

// MarshalJSON implements json.Marshaler.
func (m messageJSON) MarshalJSON() ([]byte, error) {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m.message)
	if err != nil {
		return nil, fault.Newf(fault.Internal, "report this", "the answer cannot be printed: %v", err)
	}
	compact := &bytes.Buffer{}
	if err := json.Compact(compact, encoded); err != nil {
		return nil, err
	}
	return compact.Bytes(), nil
}

// messagesJSON wraps messages for JSON encoding.
func messagesJSON[T proto.Message](messages []T) []messageJSON {
	list := make([]messageJSON, 0, len(messages))
	for _, message := range messages {
		list = append(list, messageJSON{message})
	}
	return list
}

func timeText(unixMilliseconds int64) string {
	if unixMilliseconds == 0 {
		return "-"
	}
	return time.UnixMilli(unixMilliseconds).UTC().Format(time.RFC3339)
}

// ageText formats the time since a timestamp, to a tenth of a second.
func ageText(unixMilliseconds int64, now time.Time) string {
	if unixMilliseconds == 0 {
		return "never"
	}
	const precision = 100 * time.Millisecond
	return now.Sub(time.UnixMilli(unixMilliseconds)).Round(precision).String() + " ago"
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func number[T ~uint32 | ~uint64 | ~int | ~int64](value T) string {
	return fmt.Sprint(value)
}
