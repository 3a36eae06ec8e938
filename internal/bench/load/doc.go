// Package load sends load to real processes in an open loop: requests start at
// the times of a schedule, whether or not earlier ones have been answered, and
// latency counts from the intended start, so that a server that stalls cannot
// hide the requests that it kept waiting. Every answer is checked to be whole
// and the sender's own.
//
// Traces are files of JSON lines; Generate makes those of the two deployments.
package load
