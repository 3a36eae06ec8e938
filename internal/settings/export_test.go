package settings

// Its function that the tests use.
var Leaves = leaves
