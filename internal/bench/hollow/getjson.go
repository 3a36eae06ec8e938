package hollow

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// GetJSON sends a GET request and decodes the JSON response into a value, unless that is nil.
// Any status other than 200 is an error.
func GetJSON(ctx context.Context, client *http.Client, address string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "make a request")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s returned status %d", address, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "decode %s", address)
}
