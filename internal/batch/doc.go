// Package batch runs batch items in what online leaves. One goroutine owns the
// executor's state: it asks for leases of item ranges, decides which item runs
// next and on which of the servers that this gateway feeds, makes running items
// give way, and hands finished ones to the reporter, which stores results in
// groups and then records them in the ledger in groups.
//
// An item ends once in the ledger, under the fence of its lease. What is in
// doubt is reported as a retry, which counts as a try; an item that provably
// did not run is returned and does not count.
package batch
