// Package load generates open-loop load on real processes. Requests start at scheduled
// times, whether or not earlier ones have been answered, and latency counts from the intended
// start, which avoids coordinated omission. Every answer is checked for completeness and
// content.
//
// Traces are files of JSON lines; Generate makes those of the two deployments.
package load
