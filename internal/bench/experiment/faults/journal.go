package faults

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/standin"
)

// executionCounts counts requests whose execution contradicts what clients asked for
// or were told.
type executionCounts struct {
	RepeatedNonRepeatable int `json:"repeated_nonrepeatable"`
	NotRunButRan          int `json:"not_run_but_ran"`
}

// readJournals reads the journals in which backends record the requests that they
// executed.
func readJournals(processes []*fleet.Process) ([]standin.JournalEntry, error) {
	var entries []standin.JournalEntry
	for _, process := range processes {
		read, err := readJournal(process.JournalFile())
		if err != nil {
			return nil, errors.Wrapf(err, "read journal of %s", process.Name)
		}
		entries = append(entries, read...)
	}
	return entries, nil
}

func readJournal(path string) ([]standin.JournalEntry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var entries []standin.JournalEntry
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var entry standin.JournalEntry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			// The process was killed while it wrote this line.
			continue
		}
		entries = append(entries, entry)
	}
	return entries, scanner.Err()
}

// compareJournals compares the executed requests with the responses that clients
// received.
func compareJournals(services, engines []standin.JournalEntry, seen *record) executionCounts {
	runsByKey := map[string]int{}
	for _, entry := range services {
		runsByKey[entry.Key]++
	}
	ranChats := map[string]bool{}
	for _, entry := range engines {
		ranChats[entry.ID] = true
	}
	var verdict executionCounts
	for _, key := range seen.servicesSent {
		if runsByKey[key] > 1 {
			verdict.RepeatedNonRepeatable++
		}
	}
	for _, key := range seen.servicesNotRun {
		if runsByKey[key] > 0 {
			verdict.NotRunButRan++
		}
	}
	for _, id := range seen.chatsNotRun {
		if ranChats[id] {
			verdict.NotRunButRan++
		}
	}
	return verdict
}
