// Package gateway implements the gateway daemon. It authenticates and rate
// limits callers' requests, chooses a back end, relays the response, and runs
// batch items on the capacity that online requests leave free. Callers use the
// OpenAI-compatible API that docs/API.md describes, or plain HTTP to a named
// service.
//
// Every error response is typed and says whether the request may have run. A
// graceful shutdown refuses new requests as not run and lets those in progress
// finish.
package gateway
