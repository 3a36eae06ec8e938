// Command standins plays the cases of the review: it starts the site under test from its own program,
// and the platform, the servers and the clients as stand-ins. Its exit code is 1 if the rule of the
// case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cleanup ends what the case started; it is set once there is something to end.
var cleanup = func() {}

func notRun(r *record, format string, values ...any) {
	r.add("NOT RUN: "+format, values...)
	fmt.Fprintf(os.Stderr, "not run: "+format+"\n", values...)
	finish(exitNotRun)
}

func finish(code int) {
	cleanup()
	os.Exit(code)
}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	cases := map[string]func(r *record, program string, trouble bool) bool{"split": playSplit, "surplus": playSurplus, "resend": playResend, "builds": playBuilds}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD PROGRAM")
		os.Exit(exitNotRun)
	}
	r := newRecord(os.Args[2])
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-interrupted; finish(exitNotRun) }()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case       %s, with the disruption: %v", os.Args[1], trouble)
	held := cases[os.Args[1]](r, os.Args[3], trouble)
	if held {
		r.add("RESULT     the rule held")
		fmt.Println("the rule held")
		finish(exitHeld)
	}
	r.add("RESULT     the rule was broken")
	fmt.Println("the rule was broken")
	finish(exitBroken)
}
