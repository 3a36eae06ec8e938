package configuration

// Exported for the external tests.
var SortObjects = sortObjects
