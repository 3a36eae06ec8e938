// Package serverview holds one gateway's knowledge of the back-end servers. A
// single goroutine updates it: it polls the servers that this gateway owns,
// merges the load digests relayed by the control machines, tracks server health
// from the outcomes of real traffic, and reads the platform's machine list.
// Request handlers choose servers from the same view under a short lock.
//
// All of these sources lag, so the requests that this gateway sent itself are
// always counted immediately. A server that reported that it is draining, or
// that the platform listed as leaving, stays excluded until newer information
// clears it; a stale list never readmits it.
package serverview
