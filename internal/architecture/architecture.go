// Package architecture holds no code of the system. Its tests check the rules
// that the tree's structure promises: that decision packages are pure, so that
// the daemons and the simulator run the same decisions, and that only the bench
// starts processes.
package architecture
