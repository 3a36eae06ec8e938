package follower

// Its figure that the tests use.
const LongestAvoidance = longestAvoidance
