package ledger

import (
	"fmt"
	"strconv"
	"strings"
)

// Identifiers have the form PREFIX-SHARD-NUMBER, where the number has 16 hexadecimal
// digits.
const (
	jobPrefix  = "job-"
	filePrefix = "file-"
	// identifierDigits is the length of the number.
	identifierDigits = 16
)

// JobID returns the identifier of a job. number is chosen at random by the proposer.
func JobID(shard uint32, number uint64) string {
	return fmt.Sprintf("%s%d-%016x", jobPrefix, shard, number)
}

// FileID returns the identifier of a file. number is chosen at random by the proposer.
func FileID(shard uint32, number uint64) string {
	return fmt.Sprintf("%s%d-%016x", filePrefix, shard, number)
}

// ShardOfJob returns the shard in a job identifier, and whether the identifier is well
// formed.
func ShardOfJob(id string) (uint32, bool) {
	return shardOf(jobPrefix, id)
}

// ShardOfFile returns the shard in a file identifier, and whether the identifier is
// well formed.
func ShardOfFile(id string) (uint32, bool) {
	return shardOf(filePrefix, id)
}

func shardOf(prefix, id string) (uint32, bool) {
	rest, found := strings.CutPrefix(id, prefix)
	if !found {
		return 0, false
	}
	number, digits, found := strings.Cut(rest, "-")
	if !found || len(digits) != identifierDigits {
		return 0, false
	}
	if _, err := strconv.ParseUint(digits, 16, 64); err != nil {
		return 0, false
	}
	shard, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return 0, false
	}
	return uint32(shard), true
}
