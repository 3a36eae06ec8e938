// Package upstream carries out one exchange with back ends: it sends a request
// to a chosen server, relays the answer, and goes on after a failure where that
// is allowed.
//
// It tracks precisely whether any byte of the request may have reached a back
// end. A failure before the first byte was written, and a refusal that carries
// X-Not-Run, mean that the request did not run: another server may be tried
// within the retry budget. Any later failure leaves the outcome unknown: the
// request is sent again only where it is repeatable. A stream that breaks is
// resumed on the same engine from the last token relayed, which is the same
// run and so always allowed; it is run again elsewhere only where the request
// is repeatable and its output deterministic. An answer is never reported as
// whole unless its end marker or its full length was seen.
package upstream
