package load

import (
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// serviceAnswer is the part of a service stand-in's answer that identifies the request.
type serviceAnswer struct {
	BodyHash string `json:"body_hash"`
}

// readService reads the answer of a service stand-in and checks that it matches the call.
func readService(reader io.Reader, call Call) error {
	data, err := io.ReadAll(reader)
	if err != nil {
		return errors.Wrapf(ErrTruncated, "%v", err)
	}
	var answer serviceAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return errors.Wrapf(ErrTruncated, "%v", err)
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(call.Content)
	if answer.BodyHash != hex.EncodeToString(digest.Sum(nil)) {
		return errors.Wrap(ErrWrong, "the answer has the hash of another body")
	}
	return nil
}
