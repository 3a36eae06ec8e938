package router

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
)

func fingerprintOf(i int) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{Body: []byte{byte(i), byte(i >> 8), byte(i >> 16)}})
}

func TestAnswersAreRememberedForAWhile(t *testing.T) {
	now := time.Unix(1_000, 0)
	answers := newRecentAnswers(now)
	if answers.has(fingerprintOf(1), now) {
		t.Fatal("a fingerprint that was never answered is known")
	}
	answers.add(fingerprintOf(1), false, now)
	for _, after := range []time.Duration{0, answerLifetime - 1, answerLifetime} {
		if !answers.has(fingerprintOf(1), now.Add(after)) {
			t.Fatalf("it is forgotten after %v", after)
		}
	}
	if answers.has(fingerprintOf(1), now.Add(4*answerLifetime)) {
		t.Fatal("it is never forgotten")
	}
	answers.add(fingerprintOf(2), false, now.Add(4*answerLifetime))
	if idle := now.Add(20 * answerLifetime); answers.has(fingerprintOf(2), idle) {
		t.Fatal("it is remembered while nothing is answered")
	}
}

func TestSuspectedAnswersAreReportedAtIntervals(t *testing.T) {
	now := time.Unix(1_000, 0)
	answers := newRecentAnswers(now)
	if answers.add(fingerprintOf(1), false, now) {
		t.Fatal("an answer to a fingerprint that is not suspected is reported")
	}
	reported := 0
	for i := range 100 {
		if answers.add(fingerprintOf(1), true, now.Add(time.Duration(i)*time.Millisecond)) {
			reported++
		}
	}
	if reported != 2 {
		t.Fatalf("%d of 100 answers within 100 ms are reported", reported)
	}
}

func TestRememberedAnswersAreBounded(t *testing.T) {
	now := time.Unix(1_000, 0)
	answers := newRecentAnswers(now)
	for i := range 10 * maxAnswers {
		answers.add(fingerprintOf(i), false, now)
	}
	if held := len(answers.current) + len(answers.previous); held > 2*maxAnswers {
		t.Fatalf("%d are remembered", held)
	}
	if !answers.has(fingerprintOf(10*maxAnswers-1), now) {
		t.Fatal("the last one is forgotten")
	}
}
