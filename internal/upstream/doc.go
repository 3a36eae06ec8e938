// Package upstream sends requests to backends: it sends a request to a chosen
// server, relays the response, and retries after a failure where that is allowed.
//
// It tracks whether any byte of the request may have reached a backend. After a
// failure before the first byte was written, or a refusal with X-Not-Run, the
// request did not run: another server may be tried within the retry budget. After
// any later failure the outcome is unknown, and only a repeatable request is sent
// again. A broken stream is resumed on the same engine after the last relayed
// token, which is always allowed because the run stays the same; it is run again
// elsewhere only if the request is repeatable and either its output is deterministic
// or no token was relayed. A response is reported as complete only if its end marker
// or its full length was received.
package upstream
