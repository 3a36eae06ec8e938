package configuration

// Its function that the tests use.
var SortObjects = sortObjects
