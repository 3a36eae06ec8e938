// Package serverview holds what one gateway knows of the back ends. One
// goroutine owns the knowledge: it polls the servers that this gateway owns,
// takes the digests that the control machines pass on, judges health by the
// outcomes of real traffic, and merges the platform's list. Requests choose
// their back end from the same view under a short lock.
//
// The sources lag, so what this gateway sent itself is always counted at once.
// A server that said that it is draining, or that the platform showed as
// leaving, stays out until newer evidence says otherwise; an old list never
// brings it back.
package serverview
