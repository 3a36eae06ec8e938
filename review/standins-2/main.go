package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The results of a case, which are the exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// scenario plays a case at a running site and reports its result. The disruption is left out unless trouble is set.
type scenario struct {
	routers int
	play    func(s *site, trouble bool) int
}

var scenarios = map[string]scenario{
	"event-lookup":      {routers: 2, play: playEventLookup},
	"foreign-heartbeat": {routers: 2, play: playForeignHeartbeat},
	"lost-store":        {routers: 2, play: playLostStore},
	"smuggled-request":  {routers: 2, play: playSmuggledRequest},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE PROGRAM RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordPath string) int {
	chosen, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return cannotRun
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return cannotRun
	}
	defer os.RemoveAll(folder)
	s, err := startSite(filepath.Clean(program), folder, chosen.routers, r)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		r.line("the site did not start: %v", err)
		return cannotRun
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	results := make(chan int, 1)
	go func() { results <- chosen.play(s, os.Getenv("TROUBLE") != "0") }()
	select {
	case result := <-results:
		r.line("result %d", result)
		return result
	case <-ended:
		return cannotRun
	}
}
