package ledgercost

// MeasureMemory exposes measureMemory to the tests.
var MeasureMemory = measureMemory
