// Package scale runs a fleet of the target size on one machine: hollow gateways
// and engines many to a process, beside real control machines, real gateways and
// engines that answer. It measures what control costs each daemon and each
// control machine, brings about restarts and losses, and fits how the costs grow
// with the size of the fleet.
package scale
