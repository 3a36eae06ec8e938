// Package architecture contains only tests. They check rules on the source tree:
// decision packages have no side effects, so that the daemons and the simulator
// share them, only the bench starts processes, and property tests have fixed seeds.
package architecture
