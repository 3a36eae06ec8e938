package ledgercost

// Its function that the tests use.
var MeasureMemory = measureMemory
