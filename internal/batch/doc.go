// Package batch runs batch items in the capacity that online requests leave
// free. One goroutine owns the executor's state: it requests leases on ranges of
// items, decides which item runs next and on which of the servers assigned to
// this gateway, pauses running items in favor of online requests, and passes
// finished items to the reporter, which stores results and then records them in
// the ledger, both in groups.
//
// The ledger records the end of an item once, under the fence of its lease. An
// item that may have run is reported as a retry, which counts as a try; an item
// that provably did not run is returned, which does not count.
package batch
