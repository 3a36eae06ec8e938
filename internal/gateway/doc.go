// Package gateway is the gateway daemon. It terminates callers' requests,
// authenticates and limits them, chooses a back end, relays the answer, and
// runs batch items in what online leaves. Callers speak the OpenAI-compatible
// protocol that docs/API.md describes, or plain HTTP to a named service.
//
// Every error that callers get is typed and says whether the request may have
// run. A planned stop refuses new requests as not run and cuts none in
// progress.
package gateway
